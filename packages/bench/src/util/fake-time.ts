import { install } from "@sinonjs/fake-timers";

/** Simulated time, in milliseconds, that passes only in calls of `advance` and `advanceUntil`. */
export interface FakeTime {
    /** Lets `milliseconds` pass and runs all timers that fall due, together with the promise callbacks they cause. */
    readonly advance: (milliseconds: number) => Promise<void>;
    /**
     * Lets time pass in steps of `step` milliseconds (default 50) until `condition` is met, for at most `timeout`
     * milliseconds. Returns whether it is met.
     */
    readonly advanceUntil: (condition: () => boolean, timeout: number, step?: number) => Promise<boolean>;
    /**
     * Lets `milliseconds` pass in which the process is suspended: timers that fall due meanwhile run once, at the end.
     */
    readonly suspend: (milliseconds: number) => Promise<void>;
    /** Monotonic milliseconds. */
    readonly now: () => number;
    /** Reinstates the real timers and clocks. */
    readonly restore: () => void;
}

const startTime = new Date("2026-03-02T06:00:00Z");
const defaultStepMs = 50;

/** Replaces the timers and clocks of the process by simulated ones until `restore` is called. */
export const installFakeTime = (): FakeTime => {
    const clock = install({
        now: startTime,
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
    });
    const advance = async (milliseconds: number): Promise<void> => {
        await clock.tickAsync(milliseconds);
    };
    return {
        advance,
        advanceUntil: async (condition, timeout, step = defaultStepMs) => {
            for (let elapsed = 0; elapsed < timeout && !condition(); elapsed += step) {
                await advance(step);
            }
            return condition();
        },
        suspend: async milliseconds => {
            clock.jump(milliseconds);
            await advance(0);
        },
        now: () => performance.now(),
        restore: () => {
            clock.uninstall();
        },
    };
};
