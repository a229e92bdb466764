import type { WorkerCandidate } from "./worker-candidate.js";

/**
 * The worker on which a spare-CPU task leaves serving tasks the most slack, though some may miss their targets until the
 * task is throttled; with equal slack, that with the most idle CPU. Undefined without candidates.
 */
export const leastHarmfulWorker = (candidates: readonly WorkerCandidate[]): WorkerCandidate | undefined => {
    const isBetter = (candidate: WorkerCandidate, other: WorkerCandidate): boolean =>
        candidate.slackAfter === other.slackAfter
            ? candidate.idleCpu > other.idleCpu
            : candidate.slackAfter > other.slackAfter;
    let best: WorkerCandidate | undefined;
    for (const candidate of candidates) {
        if (best === undefined || isBetter(candidate, best)) {
            best = candidate;
        }
    }
    return best;
};
