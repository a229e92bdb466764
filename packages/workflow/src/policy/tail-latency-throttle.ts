/**
 * Slows neighbours down by what serving tasks show, where the learned pressure is wrong or not known yet. Its level is
 * a factor on the neighbours' paces.
 */
export interface TailLatencyThrottle {
    /** Takes in the worst tail of a worker's serving tasks as a multiple of its target; answers the new level. */
    readonly update: (worst: number) => number;
    readonly level: () => number;
}

/** Multiple of a target from which the brake is applied. */
const alarm = 0.95;
/** Multiple of a target below which the brake is released. */
const calm = 0.7;
/** Factor on the level at each alarm; three of them, some 1.5 s, halt the neighbours. */
const step = 0.4;
/** Level below which neighbours are halted. */
const least = 0.1;
/** Level added at each calm report. */
const release = 0.2;
/** Reports over the target, with the neighbours halted, after which they can't be the cause. */
const patience = 5;

/** Creates a brake that is released. */
export const createTailLatencyThrottle = (): TailLatencyThrottle => {
    let level = 1;
    let haltedReports = 0;
    return {
        level: () => level,
        update: worst => {
            if (worst > alarm) {
                haltedReports = level === 0 ? haltedReports + 1 : 0;
                level = level * step < least ? 0 : level * step;
            }
            else if (worst < calm) {
                level = Math.min(1, level + release);
                haltedReports = 0;
            }
            if (haltedReports > patience) {
                haltedReports = 0;
                level = 1;
            }
            return level;
        },
    };
};
