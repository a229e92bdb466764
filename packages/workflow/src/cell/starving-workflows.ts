import type { JobId } from "@jayfront/world";

import type { FreeRoom } from "./free-room.js";
import type { RunRegistry } from "./run-registry.js";
import type { StageCandidate } from "./stage-candidate.js";

/**
 * Finds workflows that wait without a run although most of the room is free: since the holder has no time for all tasks,
 * urgent ones go first, or all workers are excluded because of interference. Spare-CPU work that has expired starves
 * whatever room is free, since all other work goes before it.
 */
export interface StarvingWorkflows {
    /**
     * Has to be called at the start of each pass with all candidates. Returns those of starving workflows, one for each,
     * that have waited longest first.
     */
    readonly select: (candidates: readonly StageCandidate[]) => readonly StageCandidate[];
    /**
     * Milliseconds for which a workflow has waited without a run or an attempt to start one, the longest at the last
     * selection; 0 while less than half of the room is free. If it keeps growing, the holder has accepted too much.
     */
    readonly longestWait: () => number;
    /** Records that the workflow has moved to this cell after it had waited in another one, so that it starves sooner. */
    readonly recordArrival: (id: JobId) => void;
    /** Records an attempt to start a task of a selected candidate; if none started, others are selected before it. */
    readonly recordAttempt: (candidate: StageCandidate) => void;
}

/** Options of {@link createStarvingWorkflows}. */
export interface StarvingWorkflowsOptions {
    readonly freeRoom: FreeRoom;
    readonly runRegistry: Pick<RunRegistry, "ofWorkflow">;
}

/**
 * Milliseconds without a run, while tasks could run, after which a workflow starves. Users expect a run within 3 s, of which
 * the report of the last end, a pass and the order take more than a second on a busy holder.
 */
const starvationTime = 1_700;
/** Milliseconds without a run after which a workflow starves again, if it has starved shortly before. */
const repeatedStarvationTime = 300;
/** Milliseconds for which a workflow counts as having starved shortly before, though it has had other runs since. */
const servedTime = 5_000;
/**
 * Share of the CPU that has to be free, in the cell or in all cells; if less is, tasks wait for room in the order of their
 * urgency.
 */
const ampleFreeShare = 0.5;

/** Whether the task takes no room from others, and goes after all other work for good. */
const isExpiredSpareWork = ({ stage: { step }, urgency }: StageCandidate): boolean =>
    step.usesSpareCpu && urgency.expiryLaxity < 0;

/** Creates the state of a cell without waiting workflows. */
export const createStarvingWorkflows = ({ freeRoom, runRegistry }: StarvingWorkflowsOptions): StarvingWorkflows => {
    /** Monotonic times in ms since which workflows have waited without a run or an attempt to start one. */
    let waitingSince = new Map<JobId, number>();
    /** Monotonic times in ms at which workflows got a run since they were starving, or moved here after a wait. */
    const servedAt = new Map<JobId, number>();
    let longestWait = 0;
    const isRoomAmple = (): boolean => freeRoom.ofCell() > ampleFreeShare || freeRoom.ofAllCells() > ampleFreeShare;
    /**
     * The first candidate of each workflow without a run. Long-running tasks go first in any case, and those and gangs wait
     * for nothing but room unless they use spare CPU.
     */
    const findWaiting = (candidates: readonly StageCandidate[]): ReadonlyMap<JobId, StageCandidate> => {
        const found = new Map<JobId, StageCandidate>();
        for (const candidate of candidates) {
            const { ledger: { workflow: { id } }, stage: { step } } = candidate;
            const mayStarve = step.usesSpareCpu || !step.isLasting && !step.isGang;
            if (mayStarve && !found.has(id) && runRegistry.ofWorkflow(id).length === 0) {
                found.set(id, candidate);
            }
        }
        return found;
    };
    /** Forgets workflows that have not starved for a while, and have several runs, or none and no waiting task. */
    const forgetServed = (waiting: ReadonlyMap<JobId, StageCandidate>, now: number): void => {
        for (const [id, at] of servedAt) {
            const runs = runRegistry.ofWorkflow(id).length;
            if (now - at >= servedTime && (runs > 1 || runs === 0 && !waiting.has(id))) {
                servedAt.delete(id);
            }
        }
    };
    const startOfWait = (id: JobId, now: number): number =>
        servedAt.has(id) ? now - starvationTime + repeatedStarvationTime : now;
    return {
        select: candidates => {
            const now = performance.now();
            const waiting = findWaiting(candidates);
            forgetServed(waiting, now);
            waitingSince = new Map([...waiting.keys()].map(id => [id, waitingSince.get(id) ?? startOfWait(id, now)]));
            const starving = [...waitingSince].filter(([, since]) => now - since >= starvationTime);
            const hasAmpleRoom = starving.length > 0 && isRoomAmple();
            longestWait = hasAmpleRoom ? now - Math.min(...starving.map(([, since]) => since)) : 0;
            return starving
                .sort(([, left], [, right]) => left - right)
                .flatMap(([id]) => waiting.get(id) ?? [])
                .filter(candidate => hasAmpleRoom || isExpiredSpareWork(candidate));
        },
        longestWait: () => longestWait,
        recordArrival: id => {
            servedAt.set(id, performance.now());
        },
        recordAttempt: ({ ledger }) => {
            waitingSince.set(ledger.workflow.id, performance.now());
            servedAt.set(ledger.workflow.id, performance.now());
        },
    };
};
