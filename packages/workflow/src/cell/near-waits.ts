import type { ServiceId } from "@jayfront/world";
import type { Logger } from "pino";

import type { StepRecord } from "../ledger/step-record.js";
import type { Step } from "../model/step.js";
import { createFreedRoomRate } from "../policy/freed-room-rate.js";
import type { NearWaitDecision } from "../policy/near-wait.js";
import { decideNearWait } from "../policy/near-wait.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { CellWorker, CellWorkers } from "./cell-workers.js";
import { canRunStep, isOpenTo } from "./cell-workers.js";
import { placesFor } from "./places-for.js";
import type { RunEnd } from "./run-controller.js";
import type { RunTimePredictor } from "./run-statistics.js";
import type { Run } from "./run.js";
import type { StageCandidate } from "./stage-candidate.js";

/**
 * Waits of tasks for a place where they run faster: on the rack that holds their data or, for a gang, on a single rack.
 * A task that waits stays among the waiting tasks and is visited again in later passes; the slower place that it leaves
 * is free for others. Long-running tasks never wait. Nothing waits where `NearWaitsOptions.farRunFactor` is 1.
 */
export interface NearWaits {
    /** Has to be called at the start of each pass; `isContinued` as in `WorkerReservations.beginPass`. */
    readonly beginPass: (isContinued: boolean) => void;
    /**
     * Whether the task waits, as far as it can be told without a search: a step that needs no more room found none on the
     * rack in this pass. False at once for a step that prefers no rack.
     */
    readonly waitsUnsearched: (candidate: StageCandidate, index: number) => boolean;
    /** Whether the task waits rather than start on `worker`, the best one that has room for it. */
    readonly waits: (candidate: StageCandidate, index: number, worker: CellWorker) => boolean;
    /** Whether a gang waits for room on one rack rather than start on several. */
    readonly gangWaits: (candidate: StageCandidate) => boolean;
    /** Records that a task of the candidate has started; `isNear`: in a place where it runs faster. */
    readonly recordStart: (candidate: StageCandidate, index: number, isNear: boolean) => void;
    /** Records the end of a run, from which the time until room becomes free is learned. */
    readonly recordEnd: (end: Pick<RunEnd, "run" | "outcome">) => void;
    /** Factor by which the run takes longer than one on the rack that its step prefers. */
    readonly factorOf: (run: Run) => number;
}

/** Options of {@link createNearWaits}. */
export interface NearWaitsOptions {
    readonly workers: CellWorkers;
    readonly runTime: RunTimePredictor;
    /**
     * Factor by which a task takes longer away from the rack that its step prefers, and a gang on more than one rack where
     * it needs one; 1 if racks make no difference.
     */
    readonly farRunFactor: number;
    readonly metrics: Pick<WorkflowMetrics, "nearWaits">;
    readonly logger: Logger;
}

/** Waits of the tasks of one step. */
interface StepWait {
    /** Monotonic time in ms at which the first one began. */
    readonly since: number;
    /** Indices of the tasks that have waited and not started since. */
    readonly indices: Set<number>;
    /** The last decision on a task of the step. */
    decision: NearWaitDecision;
}

/** Tasks that wait for a rack, in the current round of passes. */
interface RackQueue {
    /** Millicores of the tasks that wait, by step, with the number of the pass that last visited the step. */
    readonly steps: Map<StepRecord, { cpu: number; pass: number; }>;
    /** Millicores of all of them. */
    cpu: number;
}

/** Key of the room on a rack: spare-CPU tasks and others don't leave room to each other. */
const roomKey = (rack: string, { usesSpareCpu }: Step): string => `${rack} ${String(usesSpareCpu)}`;
/** Steps with the same key find room on the same workers, except for their size. */
const searchKey = ({ queue, stage: { step } }: StageCandidate): string =>
    [queue.service, step.preferredRack, step.usesSpareCpu, step.image, step.accelerators, step.requiredLabel].join(" ");

/** Creates the state of a cell in which no task waits and no run has ended. */
export const createNearWaits = (options: NearWaitsOptions): NearWaits => {
    const { workers, runTime, farRunFactor, metrics, logger } = options;
    const freedRoom = createFreedRoomRate();
    const waits = new WeakMap<StepRecord, StepWait>();
    const queues = new Map<string, RackQueue>();
    let pass = 0;
    // The following caches are valid for one pass.
    /** The smallest steps that found no room on the rack that they prefer, by `searchKey`. */
    const fullFor = new Map<string, Step>();
    /** Workers that accept new tasks, by service and rack. */
    const openWorkers = new Map<ServiceId, ReadonlyMap<string, readonly CellWorker[]>>();

    const openByRack = (service: ServiceId): ReadonlyMap<string, readonly CellWorker[]> => {
        const cached = openWorkers.get(service);
        if (cached !== undefined) {
            return cached;
        }
        const byRack = new Map<string, CellWorker[]>();
        for (const worker of workers.values()) {
            if (isOpenTo(worker, service)) {
                const { rack } = worker.session.entry();
                byRack.set(rack, [...byRack.get(rack) ?? [], worker]);
            }
        }
        openWorkers.set(service, byRack);
        return byRack;
    };
    /** The tasks that wait for the room; those of the step only as far as this pass has visited it. */
    const queueFor = (key: string, record: StepRecord): RackQueue => {
        const queue: RackQueue = queues.get(key) ?? { steps: new Map(), cpu: 0 };
        queues.set(key, queue);
        const own = queue.steps.get(record);
        if (own === undefined || own.pass !== pass) {
            queue.cpu -= own?.cpu ?? 0;
            queue.steps.set(record, { cpu: 0, pass });
        }
        return queue;
    };
    const joinQueue = (key: string, record: StepRecord, cpu: number): void => {
        const queue = queueFor(key, record);
        const own = queue.steps.get(record);
        if (own !== undefined) {
            own.cpu += cpu;
            queue.cpu += cpu;
        }
    };
    /** Expected milliseconds until `cpu` millicores are free on the rack for a task of the candidate. */
    const timeUntilFree = ({ stage: { step, record } }: StageCandidate, rack: string, cpu: number): number => {
        const key = roomKey(rack, step);
        const rate = freedRoom.rate(key, performance.now());
        return rate > 0 && cpu > 0 ? (queueFor(key, record).cpu + cpu) / rate : Infinity;
    };
    const decide = (candidate: StageCandidate, indices: readonly number[], expectedWait: number): NearWaitDecision => {
        const { ledger, queue, stage: { step, stepIndex, record, occurrence }, urgency } = candidate;
        const now = performance.now();
        const wait = waits.get(record);
        const waited = wait === undefined ? 0 : now - wait.since;
        const expectedRunTime = runTime(ledger.workflow.id, queue, step, stepIndex);
        const { laxity, expiryLaxity } = urgency;
        const facts = { waited, expectedWait, runTime: expectedRunTime, farRunFactor, laxity, expiryLaxity };
        const decision = decideNearWait(facts);
        if (decision === "wait" && wait === undefined) {
            waits.set(record, { since: now, indices: new Set(indices), decision });
            logger.info({
                job: ledger.workflow.id,
                queue: queue.name,
                step: stepIndex,
                occurrence,
                rack: step.preferredRack,
                expectedWait: Math.round(expectedWait),
                runTime: Math.round(expectedRunTime),
                farRunFactor,
                laxity: Math.round(laxity),
            }, "waiting for a near place");
        }
        else if (wait !== undefined) {
            wait.decision = decision;
            if (decision === "wait") {
                indices.forEach(index => wait.indices.add(index));
            }
        }
        return decision;
    };
    const decideOne = (candidate: StageCandidate, index: number, rack: string): boolean => {
        const { step, record } = candidate.stage;
        const isWait = decide(candidate, [index], timeUntilFree(candidate, rack, step.cpu)) === "wait";
        if (isWait) {
            joinQueue(roomKey(rack, step), record, step.cpu);
        }
        return isWait;
    };
    const hasFasterPlaces = ({ isLasting, preferredRack, isGang }: Step): boolean =>
        preferredRack !== undefined && farRunFactor > 1 && !isLasting && !isGang;
    return {
        beginPass: isContinued => {
            pass += 1;
            fullFor.clear();
            openWorkers.clear();
            if (!isContinued) {
                queues.clear();
            }
        },
        waitsUnsearched: (candidate, index) => {
            const { step } = candidate.stage;
            if (step.preferredRack === undefined || !hasFasterPlaces(step)) {
                return false;
            }
            const full = fullFor.get(searchKey(candidate));
            return full !== undefined && step.cpu >= full.cpu && step.memory >= full.memory
                && decideOne(candidate, index, step.preferredRack);
        },
        waits: (candidate, index, worker) => {
            const { queue, stage: { step } } = candidate;
            const { preferredRack: rack } = step;
            if (rack === undefined || !hasFasterPlaces(step) || worker.session.entry().rack === rack) {
                return false;
            }
            // Workers with room are excluded for another reason, which no end of a run changes.
            const near = openByRack(queue.service).get(rack) ?? [];
            if (!step.usesSpareCpu && near.some(each => canRunStep(each, step))) {
                return false;
            }
            if (step.perWorkerLimit === undefined) {
                fullFor.set(searchKey(candidate), step);
            }
            return decideOne(candidate, index, rack);
        },
        gangWaits: candidate => {
            const { queue, stage: { step, record } } = candidate;
            if (!step.needsOneRack || farRunFactor <= 1 || step.isLasting) {
                return false;
            }
            const racks = [...openByRack(queue.service)].flatMap(([rack, open]) => {
                const { free, total } = placesFor(step, open);
                const cpu = Math.max(1, step.count - free) * step.cpu;
                return total < step.count ? [] : [{ rack, cpu, after: timeUntilFree(candidate, rack, cpu) }];
            });
            const [soonest] = racks.sort((left, right) => left.after - right.after);
            if (soonest === undefined || decide(candidate, [...record.waiting], soonest.after) !== "wait") {
                return false;
            }
            joinQueue(roomKey(soonest.rack, step), record, soonest.cpu);
            return true;
        },
        recordStart: ({ queue, stage: { record } }, index, isNear) => {
            const wait = waits.get(record);
            if (wait?.indices.delete(index) === true) {
                const outcome = isNear ? "near" : wait.decision === "wait" ? "other" : wait.decision;
                metrics.nearWaits.inc({ queue: queue.name, outcome });
            }
        },
        recordEnd: ({ run: { worker, step }, outcome }) => {
            const rack = workers.get(worker)?.session.entry().rack;
            // Room of a run that is lost is often lost with it.
            const isFreed = outcome !== "lost" && outcome !== "not-started";
            if (farRunFactor > 1 && rack !== undefined && !step.isLasting && isFreed) {
                freedRoom.record(roomKey(rack, step), step.cpu, performance.now());
            }
        },
        factorOf: ({ worker, step: { preferredRack } }) =>
            preferredRack === undefined || workers.get(worker)?.session.entry().rack === preferredRack
                ? 1
                : farRunFactor,
    };
};
