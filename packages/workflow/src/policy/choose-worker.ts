import type { Step } from "../model/step.js";
import type { WorkerCandidate } from "./worker-candidate.js";

/** Weight of data on the same rack; larger than any difference in room. */
const rackWeight = 100;
/** Weight against a worker on which the same task has failed; larger than that of data. */
const failureWeight = 1_000;
/** Weight against a worker without serving tasks: those of one image together leave others for other images. */
const emptyWeight = 0.1;
/** Weight of what a worker can't host any more; larger than that of room, so that images mix only where they must. */
const hostingWeight = 3;
/** Weight against each other workflow: serving tasks whose loads rise and fall together leave more to neighbours. */
const otherWorkflowWeight = 0.15;
/** Weight of room that would be left over beside serving tasks; small holes fit no large task. */
const leftoverWeight = 0.5;
/** Least slack, as a share of the target's speed, that serving tasks keep beside a new neighbour. */
const leastSlack = 0.2;
/** Weight of idle processor time against slack that is taken. */
const idleWeight = 0.2;
/** Least share of the processor time asked for that has to lie idle for a task on spare time. */
const leastIdleShare = 0.5;

/** Free share of the workers that have room above which tasks are spread, so that a lost worker costs less. */
const plentyOfRoom = 0.4;

/** How well a worker suits a task; undefined where it must not run there. */
type Score = (step: Step, candidate: WorkerCandidate, hasPlenty: boolean) => number | undefined;

/** Where it takes the least part of what the serving tasks can spare, so that what disturbs nobody keeps to itself. */
const scoreSpare: Score = (step, { slackBefore, slackAfter, idleCpu, capacityCpu }) => {
    if (slackAfter < leastSlack || idleCpu < step.cpu * leastIdleShare) {
        return undefined;
    }
    const taken = Number.isFinite(slackBefore) ? (slackBefore - slackAfter) / slackBefore : 0;
    return -taken + idleCpu / capacityCpu * idleWeight;
};
const scoreServing: Score = (
    step,
    { freeCpu, capacityCpu, servingImages, otherWorkflowCount: otherWorkflows, compatibleShareLoss: hostingLoss },
) => -hostingLoss * hostingWeight
    - otherWorkflows * otherWorkflowWeight
    - (servingImages.size === 0 ? emptyWeight : 0)
    - (freeCpu - step.cpu) / capacityCpu * leftoverWeight;
/** The tightest fit where room is scarce: what several small tasks would break up stays whole for large ones. */
const scoreReserving: Score = (step, { freeCpu, capacityCpu }, hasPlenty) =>
    (freeCpu - step.cpu) / capacityCpu * (hasPlenty ? 1 : -1);

const hasPlentyOfRoom = (candidates: readonly WorkerCandidate[]): boolean => {
    const free = candidates.reduce((sum, candidate) => sum + candidate.freeCpu, 0);
    const capacity = candidates.reduce((sum, candidate) => sum + candidate.capacityCpu, 0);
    return free > capacity * plentyOfRoom;
};
const scoreOf = (step: Step): Score =>
    step.usesSpareCpu ? scoreSpare : step.tailTarget === undefined ? scoreReserving : scoreServing;

/** The best of the candidates, all of which have room; undefined where the task should wait. */
export const chooseWorker = (step: Step, candidates: readonly WorkerCandidate[]): WorkerCandidate | undefined => {
    const score = scoreOf(step);
    const hasPlenty = hasPlentyOfRoom(candidates);
    let best: WorkerCandidate | undefined;
    let bestScore = -Infinity;
    for (const candidate of candidates) {
        const value = score(step, candidate, hasPlenty);
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
