/** Which workflows random submitters submit, and how many of them they cancel. */
export interface SubmissionMix {
    /** Share of workflows that are long-running. */
    readonly longRunningShare: number;
    /** Most tasks of a long-running workflow; the number is drawn evenly, from 1. */
    readonly mostLongRunningTasks: number;
    /** Largest number of runs of each task of a long-running workflow that fail by themselves, before one goes on. */
    readonly mostFailures: number;
    /** Longest run time in ms of a long-running task that fails. */
    readonly longestTimeToFailure: number;
    /** Share of accepted long-running workflows that are cancelled at a random time. */
    readonly cancelledLongRunningShare: number;
}

/** Short-lived work, and a few long-running workflows that run until the end of the day. */
export const shortLivedMix: SubmissionMix = {
    longRunningShare: 0.08,
    mostLongRunningTasks: 1,
    mostFailures: 0,
    longestTimeToFailure: 0,
    cancelledLongRunningShare: 0,
};
