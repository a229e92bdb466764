/**
 * Throttles the spare-CPU tasks of a worker by the measured tail latency of its serving tasks, where the learned
 * interference is wrong or not known yet. Its level (0 to 1) is a factor on their paces.
 */
export interface TailLatencyThrottle {
    /** Adjusts the level to a report and returns it; `worst` is the highest ratio of a tail latency to its target. */
    readonly update: (worst: number) => number;
    readonly level: () => number;
}

/** Ratio above which a report lowers the level. */
const throttleThreshold = 0.95;
/** Ratio below which a report raises the level. */
const releaseThreshold = 0.7;
/** Factor on the level at each report above the threshold; three of them, within some 1.5 s, halt the tasks. */
const throttleFactor = 0.4;
/** Level below which the tasks are halted. */
const minLevel = 0.1;
/** Level added at each report below the release threshold. */
const release = 0.2;
/** Reports above the threshold, with the tasks halted, after which these can't be the cause. */
const maxHaltedReports = 5;

/** Creates a throttle at level 1. */
export const createTailLatencyThrottle = (): TailLatencyThrottle => {
    let level = 1;
    let haltedReports = 0;
    return {
        level: () => level,
        update: worst => {
            if (worst > throttleThreshold) {
                haltedReports = level === 0 ? haltedReports + 1 : 0;
                level = level * throttleFactor < minLevel ? 0 : level * throttleFactor;
            }
            else if (worst < releaseThreshold) {
                level = Math.min(1, level + release);
                haltedReports = 0;
            }
            if (haltedReports > maxHaltedReports) {
                haltedReports = 0;
                level = 1;
            }
            return level;
        },
    };
};
