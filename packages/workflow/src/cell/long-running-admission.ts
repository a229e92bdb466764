import type { Step } from "../model/step.js";
import { mayStartLasting } from "../policy/lasting-gate.js";
import { createUrgentReserve } from "../policy/urgent-reserve.js";
import type { CellWorkers } from "./cell-workers.js";
import { mayStartOn } from "./cell-workers.js";
import type { RunRegistry } from "./run-registry.js";
import type { StageCandidate } from "./stage-candidate.js";

/** Keeps new tasks that last from taking the room in which urgent work comes and goes. */
export interface LongRunningAdmission {
    /** Takes in all that waits; to be called at the start of each pass. */
    readonly beginPass: (candidates: readonly StageCandidate[]) => void;
    /** Whether one more task of the step may take room; true for all that does not last. */
    readonly mayStart: (candidate: StageCandidate) => boolean;
    /** A task has taken room since the pass began. */
    readonly recordStart: () => void;
}

/** Options of {@link createLongRunningAdmission}. */
export interface LongRunningAdmissionOptions {
    readonly workers: CellWorkers;
    readonly runRegistry: RunRegistry;
}

/** Priority of urgent work. */
const urgentPriority = 0;
/** Milliseconds between two counts of what urgent work holds. */
const countInterval = 50;

/** Whether tasks of the step come and go in room of their own. */
const isPassing = (step: Step): boolean => !step.isLasting && !step.usesSpareCpu;
const stageKey = ({ ledger, stage }: StageCandidate): string =>
    `${ledger.workflow.id}.${String(stage.occurrence)}.${String(stage.number)}`;

/** Creates a gate that has seen nothing. */
export const createLongRunningAdmission = (
    { workers, runRegistry }: LongRunningAdmissionOptions,
): LongRunningAdmission => {
    const reserve = createUrgentReserve();
    /** Steady ms since which there has been room for two tasks of a step. */
    const roomySince = new Map<string, number>();
    let held = 0;
    let countedAt = -Infinity;
    /** Thousandths of cores of the largest urgent task that holds room or waits. */
    let urgentSize = 1;

    const countUrgent = (candidates: readonly StageCandidate[], now: number): void => {
        countedAt = now;
        held = 0;
        let largest = 0;
        for (const run of runRegistry.all()) {
            if (isPassing(run.step) && run.ledger.workflow.queue.priority === urgentPriority) {
                held += run.step.cpu;
                largest = Math.max(largest, run.step.cpu);
            }
        }
        let waiting = 0;
        for (const { stage: { step }, queue, urgency, indices } of candidates) {
            if (isPassing(step) && queue.priority === urgentPriority && urgency.lateLaxity >= 0) {
                waiting += step.cpu * indices.length;
                largest = Math.max(largest, step.cpu);
            }
        }
        urgentSize = largest > 0 ? largest : urgentSize;
        reserve.note(held + waiting, now);
    };
    /** Tasks of the step for which there is room, up to `limit`. */
    const placesFor = ({ queue, stage: { step } }: StageCandidate, limit: number): number => {
        let places = 0;
        for (const worker of workers.values()) {
            if (mayStartOn(worker, queue.service, step)) {
                places += Math.min(
                    step.perWorkerLimit ?? Infinity,
                    Math.floor(worker.room.freeCpu() / Math.max(1, step.cpu)),
                    Math.floor(worker.room.freeMemory() / Math.max(1, step.memory)),
                );
                if (places >= limit) {
                    return places;
                }
            }
        }
        return places;
    };
    /** Thousandths of cores that are free in pieces which urgent tasks fit; undefined once a start has changed it. */
    let free: number | undefined;
    const sumFree = (): number => {
        let sum = 0;
        for (const { room } of workers.values()) {
            sum += Math.floor(room.freeCpu() / urgentSize) * urgentSize;
        }
        return sum;
    };
    return {
        beginPass: candidates => {
            const now = performance.now();
            free = undefined;
            if (now - countedAt >= countInterval) {
                countUrgent(candidates, now);
            }
            const lasting = candidates.filter(({ urgency }) => urgency.lasting === "new");
            const keys = new Set(lasting.map(stageKey));
            for (const key of roomySince.keys()) {
                if (!keys.has(key)) {
                    roomySince.delete(key);
                }
            }
            for (const candidate of lasting) {
                const key = stageKey(candidate);
                if (placesFor(candidate, 2) < 2) {
                    roomySince.delete(key);
                }
                else if (!roomySince.has(key)) {
                    roomySince.set(key, now);
                }
            }
        },
        mayStart: candidate => {
            const { stage: { step, record }, urgency } = candidate;
            if (urgency.lasting !== "new") {
                return true;
            }
            const now = performance.now();
            const since = roomySince.get(stageKey(candidate));
            const places = placesFor(candidate, 2);
            free ??= sumFree();
            return mayStartLasting({
                places,
                roomyFor: since === undefined || places < 2 ? undefined : now - since,
                waitsFor: now - (record.readySince ?? now),
                reachAfter: held + free - step.cpu,
                reserve: reserve.wanted(now),
            });
        },
        recordStart: () => {
            free = undefined;
        },
    };
};
