import type { Step } from "../model/step.js";
import type { WorkerCandidate } from "./worker-candidate.js";

/** Bonus for a worker on the rack that holds the step's data; exceeds any difference in room. */
const sameRackBonus = 100;
/** Penalty for a worker on which the same task has failed; exceeds the bonus for the rack. */
const failedBeforePenalty = 1_000;
/**
 * Penalty, times what the worker lacks of normal speed, for tasks that should be fast. Even a cold worker, which lacks
 * least, loses more than the bonus for the rack: there, a run takes half as long again, as it does off its rack, and the
 * worker turns warm only after that.
 */
const slownessPenalty = 400;
/** Bonus, times the same, for tasks that have time: they leave normal workers to others and warm the cold ones up. */
const slownessBonus = 0.5;
/** Penalty for a worker without serving tasks: packing one image together leaves other workers for other images. */
const emptyWorkerPenalty = 0.1;
/** Weight of the loss of compatible spare-CPU work; exceeds that of room, so that images mix only where they must. */
const compatibleShareLossWeight = 3;
/** Penalty per other workflow: serving tasks whose loads peak together leave more spare CPU between the peaks. */
const otherWorkflowPenalty = 0.15;
/** Weight of the room left over beside serving tasks; small remainders fit no large task. */
const leftoverWeight = 0.5;
/** Least slack, in relative speed above the target, that serving tasks keep beside a new spare-CPU task. */
const minSlack = 0.2;
/** Weight of idle CPU against the slack that the task takes. */
const idleWeight = 0.2;
/** Least share of the requested CPU that must be idle for a spare-CPU task. */
const minIdleShare = 0.5;

/** Free share of the candidates' CPU above which tasks are spread, so that losing a worker affects fewer of them. */
const ampleRoomShare = 0.4;

/** Scores how well a worker suits a task, higher is better; undefined where the task must not run. */
type Scorer = (step: Step, candidate: WorkerCandidate, isRoomAmple: boolean) => number | undefined;

/**
 * For spare-CPU tasks. Prefers the worker on which the task takes the least share of the serving tasks' slack, so that
 * tasks run beside serving tasks that they hardly slow.
 */
const scoreForSpareCpu: Scorer = (step, { slackBefore, slackAfter, idleCpu, capacityCpu }) => {
    if (slackAfter < minSlack || idleCpu < step.cpu * minIdleShare) {
        return undefined;
    }
    const lostSlackShare = Number.isFinite(slackBefore) ? (slackBefore - slackAfter) / slackBefore : 0;
    return -lostSlackShare + idleCpu / capacityCpu * idleWeight;
};
/** For serving tasks. Prefers the tightest fit beside serving tasks of the same image and the same workflow. */
const scoreForServing: Scorer = (
    step,
    { freeCpu, capacityCpu, servingImages, otherWorkflowCount, compatibleShareLoss },
) => -compatibleShareLoss * compatibleShareLossWeight
    - otherWorkflowCount * otherWorkflowPenalty
    - (servingImages.size === 0 ? emptyWorkerPenalty : 0)
    - (freeCpu - step.cpu) / capacityCpu * leftoverWeight;
/**
 * For tasks that reserve CPU and have no target for their tail latency. Prefers the emptiest worker where room is
 * ample, else the tightest fit, which leaves room for large tasks.
 */
const scoreForReserving: Scorer = (step, { freeCpu, capacityCpu }, isRoomAmple) =>
    (freeCpu - step.cpu) / capacityCpu * (isRoomAmple ? 1 : -1);

const hasAmpleRoom = (candidates: readonly WorkerCandidate[]): boolean => {
    let free = 0;
    let capacity = 0;
    for (const candidate of candidates) {
        free += candidate.freeCpu;
        capacity += candidate.capacityCpu;
    }
    return free > capacity * ampleRoomShare;
};
const scorerFor = (step: Step): Scorer =>
    step.usesSpareCpu ? scoreForSpareCpu : step.tailTarget === undefined ? scoreForReserving : scoreForServing;

/**
 * The best worker among candidates that all have room for the task; undefined where the task should wait.
 * `shouldBeFast`: whether the task has no time for a slower worker.
 */
export const chooseWorker = (
    step: Step,
    candidates: readonly WorkerCandidate[],
    shouldBeFast = true,
): WorkerCandidate | undefined => {
    const scorer = scorerFor(step);
    const slownessWeight = shouldBeFast ? -slownessPenalty : slownessBonus;
    // The other scorers ignore it.
    const isRoomAmple = scorer === scoreForReserving && hasAmpleRoom(candidates);
    let best: WorkerCandidate | undefined;
    let bestScore = -Infinity;
    for (const candidate of candidates) {
        const score = scorer(step, candidate, isRoomAmple);
        const total = (score ?? -Infinity)
            + (step.preferredRack === candidate.rack ? sameRackBonus : 0)
            - (candidate.hasFailedBefore ? failedBeforePenalty : 0)
            + (1 - candidate.speed) * slownessWeight;
        if (score !== undefined && total > bestScore) {
            best = candidate;
            bestScore = total;
        }
    }
    return best;
};
