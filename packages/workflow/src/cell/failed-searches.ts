import type { Step } from "../model/step.js";
import type { StageCandidate } from "./stage-candidate.js";

/** Remembers the searches for a worker that found none, so that steps which need no less don't search as well. */
export interface FailedSearches {
    /** Has to be called at the start of each pass. */
    readonly beginPass: () => void;
    /** Records that tasks of the candidate found no worker; ignored for steps with a limit per worker. */
    readonly record: (candidate: StageCandidate) => void;
    /** The candidate that found no worker in this pass and needs no more than this one; undefined if there is none. */
    readonly blockerOf: (candidate: StageCandidate) => StageCandidate | undefined;
    /** Whether a spare-CPU step that needs no more than this one found no worker a short time ago. */
    readonly isTooEarly: (candidate: StageCandidate) => boolean;
}

/**
 * Milliseconds after which spare-CPU tasks that found no worker look for one again. All workers have room for them, so
 * that each search inspects all workers.
 */
const spareCpuRetryInterval = 150;

/** Options of {@link createFailedSearches}. */
export interface FailedSearchesOptions {
    /** See `SpeedLimits.classOf`; the search of one class tells nothing of another. */
    readonly classOf: (candidate: StageCandidate) => string;
}

/** Key of a step's requirements on workers, except its size. */
const keyOf = ({ queue, stage: { step }, isSuspect }: StageCandidate): string =>
    [queue.service, isSuspect, step.requiredLabel, step.usesSpareCpu, step.isLasting, step.image, step.accelerators]
        .join(" ");
const isAtLeastAsLarge = (step: Step, other: Step): boolean => step.cpu >= other.cpu && step.memory >= other.memory;

/** Creates a memory without searches. */
export const createFailedSearches = ({ classOf }: FailedSearchesOptions): FailedSearches => {
    const requirementsOf = (candidate: StageCandidate): string => `${keyOf(candidate)} ${classOf(candidate)}`;
    /** Candidates that found no worker in this pass, by `requirementsOf`. */
    const blockers = new Map<string, StageCandidate>();
    /** Spare-CPU steps that found no worker, by `requirementsOf`, with the monotonic time in ms of the search. */
    const spareCpuSearches = new Map<string, { readonly step: Step; readonly at: number; }>();
    return {
        beginPass: () => {
            blockers.clear();
            const now = performance.now();
            for (const [requirements, { at }] of spareCpuSearches) {
                if (now - at >= spareCpuRetryInterval) {
                    spareCpuSearches.delete(requirements);
                }
            }
        },
        record: candidate => {
            const { step } = candidate.stage;
            if (step.perWorkerLimit !== undefined) {
                return;
            }
            const requirements = requirementsOf(candidate);
            blockers.set(requirements, candidate);
            if (step.usesSpareCpu) {
                spareCpuSearches.set(requirements, { step, at: performance.now() });
            }
        },
        blockerOf: candidate => {
            const blocker = blockers.get(requirementsOf(candidate));
            return blocker !== undefined && isAtLeastAsLarge(candidate.stage.step, blocker.stage.step)
                ? blocker
                : undefined;
        },
        isTooEarly: candidate => {
            const search = spareCpuSearches.get(requirementsOf(candidate));
            return search !== undefined && isAtLeastAsLarge(candidate.stage.step, search.step);
        },
    };
};
