import { uselessFactor } from "./useless-factor.js";

/**
 * What a cell does with a submission. `in order`: its urgency decides when it starts, also if it can't be in time. `late`: it
 * is accepted and goes after work that can be in time, to which it leaves room. `refused`: its result would be useless.
 */
export type AdmissionVerdict = "in order" | "late" | "refused";

/** What decides on a submission; times in milliseconds. */
export interface AdmissionFacts {
    /** Wait for room if the submission goes before work that it is more urgent than. */
    readonly wait: number;
    /** Wait for room if it goes after all work that can be in time. */
    readonly waitAsLate: number;
    /** Its longest chain of dependent steps. */
    readonly path: number;
    /** Time from its acceptance within which it should end. */
    readonly objective: number;
    /** Whether others come first: its group is above its share, or submissions that were refused before it may return. */
    readonly isHeldBack: boolean;
}

/** Part of the time to spare that work which is held back may wait, so that there is always some left for others. */
const heldBackShare = 0.5;

/** Decides on a submission by when it would end. */
export const admissionVerdict = (
    { wait, waitAsLate, path, objective, isHeldBack }: AdmissionFacts,
): AdmissionVerdict =>
    wait <= (objective - path) * (isHeldBack ? heldBackShare : 1)
        ? "in order"
        : waitAsLate + path > objective * uselessFactor
        ? "refused"
        : isHeldBack
        ? "late"
        : "in order";
