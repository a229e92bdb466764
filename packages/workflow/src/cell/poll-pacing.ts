/**
 * Times between the polls of one worker, in milliseconds. They grow while the process is late, so that polls leave it
 * processor time for all else. A worker answers a poll at the end of a run however long it may wait.
 */
export interface PollPacing {
    /** Longest time for which a worker with runs may delay its answer. */
    readonly wait: () => number;
    /** Time between polls of a worker with runs, so that one report can list several ends. */
    readonly endGatherTime: () => number;
    /** Time between polls of a worker without runs, which keep the reading of its clock recent. */
    readonly idleInterval: () => number;
    /** Time between polls of a worker that does not answer. */
    readonly retryInterval: () => number;
}

/** Options of {@link createPollPacing}. */
export interface PollPacingOptions {
    /** See `ProcessDelay.recent`. */
    readonly processDelay: () => number;
    /** Whether tasks on the worker may interfere with each other, which requires frequent reports. */
    readonly mayInterfere: () => boolean;
}

/** A time in milliseconds between polls, and how far it may grow. */
interface PollTime {
    readonly usual: number;
    readonly longest: number;
}

/** `longest` is a limit of the platform; the timeout of a poll grows with its wait, which hides a dead connection. */
const wait: PollTime = { usual: 1_000, longest: 2_000 };
/** As `wait`, if tasks may interfere with each other; the figures in a report cover the last half second. */
const interferenceWait: PollTime = { usual: 400, longest: 2_000 };
const endGatherTime: PollTime = { usual: 25, longest: 125 };
const idleInterval: PollTime = { usual: 2_000, longest: 6_000 };
/** `longest`: what ran on a worker that is gone may run elsewhere only after a poll that failed. */
const retryInterval: PollTime = { usual: 400, longest: 1_000 };
/** Delay of the process, in milliseconds, up to which the times are the usual ones; they grow in proportion to it. */
const toleratedDelay = 75;

/** Creates the pacing of the polls of one worker. */
export const createPollPacing = ({ processDelay, mayInterfere }: PollPacingOptions): PollPacing => {
    const stretched = ({ usual, longest }: PollTime): number =>
        Math.round(Math.min(longest, usual * Math.max(1, processDelay() / toleratedDelay)));
    return {
        wait: () => stretched(mayInterfere() ? interferenceWait : wait),
        endGatherTime: () => stretched(endGatherTime),
        idleInterval: () => stretched(idleInterval),
        retryInterval: () => stretched(retryInterval),
    };
};
