import type { Step } from "../model/step.js";
import type { WorkerCandidate } from "./worker-candidate.js";

/** Weight of data on the same rack; larger than any difference in room. */
const rackWeight = 100;
/** Weight against a worker on which the same task has failed; larger than that of data. */
const failureWeight = 1_000;
/** Weight of one neighbour that would disturb or be disturbed, in shares of a worker's capacity. */
const neighbourWeight = 0.5;
/** Share of a task's wish for spare processor time that a worker has to have left. */
const leastSpareShare = 0.5;

const scoreOf = (step: Step, candidate: WorkerCandidate): number => {
    const { capacityCpu, spareCpu, servingTasks, spareTasks } = candidate;
    const room = (spareCpu - step.cpu) / capacityCpu;
    const neighbours = step.usesSpareCpu ? servingTasks : step.tailTarget === undefined ? 0 : spareTasks + servingTasks;
    return room
        - neighbours * neighbourWeight
        + (step.preferredRack === candidate.rack ? rackWeight : 0)
        - (candidate.failedBefore ? failureWeight : 0);
};

/** The best of the candidates, all of which have room; undefined where none serves the step well enough. */
export const chooseWorker = (step: Step, candidates: readonly WorkerCandidate[]): WorkerCandidate | undefined => {
    let best: WorkerCandidate | undefined;
    let bestScore = -Infinity;
    for (const candidate of candidates) {
        const isStarved = step.usesSpareCpu && candidate.spareCpu < step.cpu * leastSpareShare;
        const score = isStarved ? -Infinity : scoreOf(step, candidate);
        if (score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
};
