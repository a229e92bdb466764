import { taskName } from "../model/task-name.js";
import { mayStartLongRunning } from "../policy/may-start-long-running.js";
import { isShortLived } from "../policy/short-lived-room.js";
import { taskCountOn } from "../policy/task-count-on.js";
import { urgentPriority } from "../policy/urgency.js";
import { createUrgentReserve } from "../policy/urgent-reserve.js";
import type { CellWorkers } from "./cell-workers.js";
import { mayStartOn } from "./cell-workers.js";
import type { RunRegistry } from "./run-registry.js";
import type { StageCandidate } from "./stage-candidate.js";
import { stageName } from "./stage-name.js";
import type { UnansweredStarts } from "./unanswered-starts.js";

/**
 * Admission control for new long-running tasks, so that they don't take capacity which urgent work needs, or which
 * other long-running tasks will need to run again.
 */
export interface LongRunningAdmission {
    /** Updates the demand of urgent work; has to be called at the start of each pass with all candidates. */
    readonly beginPass: (candidates: readonly StageCandidate[]) => void;
    /** Whether one more task of the step may start; always true unless the task is new and long-running. */
    readonly mayStart: (candidate: StageCandidate) => boolean;
    /** Whether there is room for two tasks of the step, regardless of what is kept for urgent work. */
    readonly hasRoomForTwo: (candidate: StageCandidate) => boolean;
    /** Has to be called after each start in the pass, since it changes the free capacity. */
    readonly recordStart: () => void;
}

/** Options of {@link createLongRunningAdmission}. */
export interface LongRunningAdmissionOptions {
    readonly workers: CellWorkers;
    readonly runRegistry: RunRegistry;
    /** See `UnansweredStarts.constraintOf`. */
    readonly constraintOf: UnansweredStarts["constraintOf"];
}

/** Minimum milliseconds between two updates of the demand of urgent work. */
const countInterval = 50;

/** Creates an admission control without any recorded demand. */
export const createLongRunningAdmission = (
    { workers, runRegistry, constraintOf }: LongRunningAdmissionOptions,
): LongRunningAdmission => {
    const urgentReserve = createUrgentReserve();
    /** Monotonic time in ms since which there has been room for two tasks, by step. */
    const roomForTwoSince = new Map<string, number>();
    /** Millicores that urgent runs reserve. */
    let heldCpu = 0;
    /** Monotonic time in ms of the last update of the demand. */
    let countedAt = -Infinity;
    /** Millicores of the largest urgent task that runs or waits. */
    let urgentTaskCpu = 1;

    const updateUrgentDemand = (candidates: readonly StageCandidate[], now: number): void => {
        countedAt = now;
        heldCpu = 0;
        let largestCpu = 0;
        for (const run of runRegistry.all()) {
            if (isShortLived(run.step) && run.ledger.workflow.queue.priority === urgentPriority) {
                heldCpu += run.step.cpu;
                largestCpu = Math.max(largestCpu, run.step.cpu);
            }
        }
        let waitingCpu = 0;
        for (const { stage: { step }, queue, urgency, indices } of candidates) {
            if (isShortLived(step) && queue.priority === urgentPriority && urgency.expiryLaxity >= 0) {
                waitingCpu += step.cpu * indices.length;
                largestCpu = Math.max(largestCpu, step.cpu);
            }
        }
        urgentTaskCpu = largestCpu > 0 ? largestCpu : urgentTaskCpu;
        urgentReserve.recordDemand(heldCpu + waitingCpu, now);
    };
    /** Number of tasks of the step that fit on the workers; counting stops once `limit` is reached. */
    const countPlaces = ({ queue, stage: { step } }: StageCandidate, limit: number): number => {
        let places = 0;
        for (const worker of workers.values()) {
            if (mayStartOn(worker, queue.service, step)) {
                const { resources } = worker;
                places += taskCountOn({ cpu: resources.freeCpu(), memory: resources.freeMemory() }, step);
                if (places >= limit) {
                    return places;
                }
            }
        }
        return places;
    };
    /** Millicores of long-running tasks that may need room soon: see `sumAtRisk`. */
    let atRiskCpu = 0;
    /**
     * Sums up the long-running tasks whose workers don't answer, and those that ran before and may not start yet: an
     * unanswered start of them may still be carried out.
     */
    const sumAtRisk = (candidates: readonly StageCandidate[]): number => {
        let sum = 0;
        for (const { session } of workers.values()) {
            if (session.contact() === "silent" || session.contact() === "unknown") {
                for (const { step } of runRegistry.ofWorker(session.id)) {
                    sum += step.isLasting ? step.cpu : 0;
                }
            }
        }
        for (const { ledger, stage: { step, stepIndex, occurrence, record }, urgency, indices } of candidates) {
            if (urgency.lasting === "again" || urgency.lasting === "first") {
                const position = { job: ledger.workflow.id, occurrence, step: stepIndex };
                const constrained = indices.filter(index =>
                    record.started.has(index) && constraintOf(taskName({ ...position, index })) !== undefined
                );
                sum += constrained.length * step.cpu;
            }
        }
        return sum;
    };
    /** As `countPlaces`, without those that tasks at risk may need. */
    const countFreePlaces = (candidate: StageCandidate, limit: number): number => {
        const placesAtRisk = Math.ceil(atRiskCpu / Math.max(1, candidate.stage.step.cpu));
        return countPlaces(candidate, limit + placesAtRisk) - placesAtRisk;
    };
    /** Free millicores, in multiples of `urgentTaskCpu` per worker; undefined if it has to be recomputed. */
    let freeForUrgent: number | undefined;
    const sumFreeForUrgent = (): number => {
        let sum = 0;
        for (const { resources, isEvacuated } of workers.values()) {
            sum += isEvacuated() ? 0 : Math.floor(resources.freeCpu() / urgentTaskCpu) * urgentTaskCpu;
        }
        return sum;
    };
    return {
        beginPass: candidates => {
            const now = performance.now();
            freeForUrgent = undefined;
            atRiskCpu = sumAtRisk(candidates);
            if (now - countedAt >= countInterval) {
                updateUrgentDemand(candidates, now);
            }
            const newLongRunning = candidates.filter(({ urgency }) => urgency.lasting === "new");
            const keys = new Set(newLongRunning.map(stageName));
            for (const key of roomForTwoSince.keys()) {
                if (!keys.has(key)) {
                    roomForTwoSince.delete(key);
                }
            }
            for (const candidate of newLongRunning) {
                const key = stageName(candidate);
                if (countPlaces(candidate, 2) < 2) {
                    roomForTwoSince.delete(key);
                }
                else if (!roomForTwoSince.has(key)) {
                    roomForTwoSince.set(key, now);
                }
            }
        },
        mayStart: candidate => {
            const { stage: { step, record }, urgency } = candidate;
            if (urgency.lasting !== "new") {
                return true;
            }
            const now = performance.now();
            const since = roomForTwoSince.get(stageName(candidate));
            const places = countFreePlaces(candidate, 2);
            freeForUrgent ??= sumFreeForUrgent();
            return mayStartLongRunning({
                places,
                roomFreeFor: since === undefined || places < 2 ? undefined : now - since,
                waitingFor: now - (record.readySince ?? now),
                urgentCpuAfterStart: heldCpu + freeForUrgent - step.cpu,
                reserve: urgentReserve.requiredCpu(now),
            });
        },
        hasRoomForTwo: candidate => countFreePlaces(candidate, 2) >= 2,
        recordStart: () => {
            freeForUrgent = undefined;
        },
    };
};
