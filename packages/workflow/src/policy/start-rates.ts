import type { WorkPool } from "./waiting-work.js";

/**
 * Rates at which work of each pool starts while some of it waits, whatever it waits for: room, or the holder that has to
 * order the starts. Times in ms of a monotonic clock.
 */
export interface StartRates {
    /** Records the start of a task that takes `work` millicores times ms. */
    readonly recordStart: (pool: WorkPool, priority: number, work: number) => void;
    /** Records the end of a pass of placement after which work of these pools still waits. */
    readonly endPass: (waitingPools: ReadonlySet<WorkPool>, now: number) => void;
    /**
     * Millicores times ms per ms that have started of the pool in the last few seconds, with this priority or a later
     * one; undefined unless work of the pool waits and enough tasks have started for a rate.
     */
    readonly rateOf: (pool: WorkPool, priority: number) => number | undefined;
}

/** What started between two passes. */
interface Interval {
    readonly from: number;
    readonly to: number;
    /** Millicores times ms by priority. */
    readonly work: readonly number[];
    readonly starts: number;
}

/** Starts since the last pass, and the intervals in which work waited. */
interface PoolRate {
    work: number[];
    starts: number;
    isWaiting: boolean;
    intervals: Interval[];
}

/** Milliseconds in which starts count; a few typical run times. */
const window = 4_000;
/** Milliseconds in which work waited, and starts, from which a rate is known. */
const leastTime = 500;
const leastStarts = 20;

/** Creates rates without starts. */
export const createStartRates = (): StartRates => {
    const createPool = (): PoolRate => ({ work: [], starts: 0, isWaiting: false, intervals: [] });
    const pools: Readonly<Record<WorkPool, PoolRate>> = { reserved: createPool(), spare: createPool() };
    let passEndedAt: number | undefined;
    return {
        recordStart: (pool, priority, work) => {
            const rate = pools[pool];
            rate.work[priority] = (rate.work[priority] ?? 0) + work;
            rate.starts += 1;
        },
        endPass: (waitingPools, now) => {
            for (const [pool, rate] of Object.entries(pools) as [WorkPool, PoolRate][]) {
                if (rate.isWaiting && passEndedAt !== undefined) {
                    rate.intervals.push({ from: passEndedAt, to: now, work: rate.work, starts: rate.starts });
                }
                while (rate.intervals[0] !== undefined && now - rate.intervals[0].to > window) {
                    rate.intervals.shift();
                }
                rate.work = [];
                rate.starts = 0;
                rate.isWaiting = waitingPools.has(pool);
            }
            passEndedAt = now;
        },
        rateOf: (pool, priority) => {
            const { isWaiting, intervals } = pools[pool];
            const time = intervals.reduce((sum, { from, to }) => sum + to - from, 0);
            const starts = intervals.reduce((sum, interval) => sum + interval.starts, 0);
            if (!isWaiting || time < leastTime || starts < leastStarts) {
                return undefined;
            }
            const work = intervals.reduce(
                (sum, interval) => sum + interval.work.slice(priority).reduce((total, each) => total + each, 0),
                0,
            );
            return work / time;
        },
    };
};
