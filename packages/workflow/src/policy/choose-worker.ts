import type { Step } from "../model/step.js";
import type { WorkerCandidate } from "./worker-candidate.js";

/** Weight of data on the same rack; larger than any difference in room. */
const rackWeight = 100;
/** Weight against a worker on which the same task has failed; larger than that of data. */
const failureWeight = 1_000;
/** Weight of serving tasks of the same image: kept together, they leave other workers to what would disturb them. */
const sameImageWeight = 0.6;
/** Weight of serving tasks of other images, each. */
const otherImageWeight = 0.15;
/** Least slack, as a share of the target's speed, that serving tasks keep beside a new neighbour. */
const leastSlack = 0.1;
/** Largest slack that still makes a difference, as a share of the target's speed. */
const enoughSlack = 1;
/** Least share of the processor time asked for that has to lie idle for a task on spare time. */
const leastIdleShare = 0.5;

/** How well a worker suits a task; undefined where it must not run there. */
type Score = (step: Step, candidate: WorkerCandidate) => number | undefined;

const scoreSpare: Score = (step, { servingSlack, idleCpu, capacityCpu }) => {
    if (servingSlack < leastSlack || idleCpu < step.cpu * leastIdleShare) {
        return undefined;
    }
    return Math.min(enoughSlack, servingSlack) + idleCpu / capacityCpu;
};
const scoreServing: Score = (step, { freeCpu, capacityCpu, servingImages }) => {
    const image = step.image ?? "";
    const same = servingImages.get(image) ?? 0;
    const others = [...servingImages.values()].reduce((sum, count) => sum + count, 0) - same;
    return (freeCpu - step.cpu) / capacityCpu + (same > 0 ? sameImageWeight : 0) - others * otherImageWeight;
};
const scoreReserving: Score = (step, { freeCpu, capacityCpu }) => (freeCpu - step.cpu) / capacityCpu;

const scoreOf = (step: Step): Score =>
    step.usesSpareCpu ? scoreSpare : step.tailTarget === undefined ? scoreReserving : scoreServing;

/** The best of the candidates, all of which have room; undefined where the task should wait. */
export const chooseWorker = (step: Step, candidates: readonly WorkerCandidate[]): WorkerCandidate | undefined => {
    const score = scoreOf(step);
    let best: WorkerCandidate | undefined;
    let bestScore = -Infinity;
    for (const candidate of candidates) {
        const value = score(step, candidate);
        const total = (value ?? -Infinity)
            + (step.preferredRack === candidate.rack ? rackWeight : 0)
            - (candidate.hasFailedBefore ? failureWeight : 0);
        if (value !== undefined && total > bestScore) {
            best = candidate;
            bestScore = total;
        }
    }
    return best;
};
