import { uselessFactor } from "./useless-factor.js";

/**
 * What a cell does with a submission. `in time`: it takes part in the order of work that can still be in time. `late`: it is
 * accepted and goes after such work, since it can no longer be in time, but its result is useful to the submitter.
 * `refused`: its result would be useless.
 */
export type AdmissionVerdict = "in time" | "late" | "refused";

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
    /** Whether one of the groups that it belongs to gets less than what every group is sure of. */
    readonly isBelowShare: boolean;
}

/** Decides on a submission by when it would end. */
export const admissionVerdict = (
    { wait, waitAsLate, path, objective, isBelowShare }: AdmissionFacts,
): AdmissionVerdict =>
    wait === 0 || wait + path <= objective || isBelowShare
        ? "in time"
        : waitAsLate + path <= objective * uselessFactor
        ? "late"
        : "refused";
