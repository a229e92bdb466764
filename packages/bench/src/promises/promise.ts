/** What must hold in every run, by the name under which a violation is reported. */
export const promiseDescriptions = {
    "no-over-commit": "no worker is given more than it holds",
    "one-place": "no task runs in two places at once",
    "finish-once": "a finished task is not run again while its worker keeps the result",
    "resume-once": "evicted work resumes exactly once",
    "whole-answer": "each caller gets the whole answer to its own request",
    "not-run": "what was said not to have run did not run",
    "at-most-once": "a non-idempotent request or task runs at most once",
    leaving: "a leaving worker gets no new work after 3 s",
    "graceful-stop": "a planned stop cuts off no request in flight",
    configuration: "an accepted configuration is in force within 6 s and never reverts",
    completion: "every idempotent task ends and is recorded once all faults are over",
} as const;

/** Name of a promise. */
export type PromiseName = keyof typeof promiseDescriptions;

/** A broken promise with its evidence, text for people. */
export interface Violation {
    readonly promise: PromiseName;
    readonly evidence: string;
}
