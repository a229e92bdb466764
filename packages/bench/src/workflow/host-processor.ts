import { AsyncLocalStorage } from "node:async_hooks";

/**
 * Processor of a simulated host, which carries out all work of the host in the order of its arrival: answers to its
 * calls, messages of its peers and callbacks of its timers. While it is busy, all of these are late.
 */
export interface HostProcessor {
    /** Runs `action` at once on behalf of the host: timers that it sets, also later on, belong to the host. */
    readonly enter: <Value>(action: () => Value) => Value;
    /** Runs `action` on behalf of the host once the work before it is done; it takes `work` ms of one core. */
    readonly enqueue: (work: number, action: () => void) => void;
    /** Adds `work` ms of one core; returns the milliseconds until it is done. */
    readonly charge: (work: number) => number;
    /** Drops all work, as if the host's process was killed. */
    readonly stop: () => void;
}

/** Options of {@link createHostProcessor}. */
export interface HostProcessorOptions {
    /** Cores that the host may use; may be a fraction. */
    readonly cores: number;
    /** Milliseconds of one core that the callback of a timer takes. */
    readonly timePerTimer: number;
}

/** Work that waits for the processor. */
interface PendingWork {
    readonly work: number;
    readonly action: () => void;
}

/** A timer of a host. */
interface HostTimer {
    isCleared: boolean;
}

type TimerHandle = ReturnType<typeof setTimeout>;

/** The processor on whose behalf code runs. */
const current = new AsyncLocalStorage<{ readonly processor: HostProcessor; readonly timePerTimer: number; }>();
/** Timers of hosts whose callback has not run yet. */
const hostTimers = new Map<TimerHandle, HostTimer>();

/** Runs `action` outside of all hosts, such as in the network: its timers are never late. */
export const runOutsideHosts = <Value>(action: () => Value): Value => current.exit(action);

/**
 * Lets the callbacks of timers that are set on behalf of a host wait for its processor; to be called once the simulated
 * time is installed. The returned function undoes it.
 */
export const installHostTimers = (): () => void => {
    const original = { setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout };
    const setHostTimeout = (
        callback: (...values: unknown[]) => void,
        delay?: number,
        ...values: unknown[]
    ): TimerHandle => {
        const owner = current.getStore();
        if (owner === undefined) {
            return original.setTimeout(callback, delay, ...values);
        }
        const timer: HostTimer = { isCleared: false };
        const handle = original.setTimeout(() => {
            owner.processor.enqueue(owner.timePerTimer, () => {
                hostTimers.delete(handle);
                if (!timer.isCleared) {
                    callback(...values);
                }
            });
        }, delay);
        hostTimers.set(handle, timer);
        return handle;
    };
    globalThis.setTimeout = setHostTimeout as typeof setTimeout;
    globalThis.clearTimeout = ((handle: TimerHandle | undefined): void => {
        const timer = handle === undefined ? undefined : hostTimers.get(handle);
        if (timer !== undefined && handle !== undefined) {
            timer.isCleared = true;
            hostTimers.delete(handle);
        }
        original.clearTimeout(handle);
    }) as typeof clearTimeout;
    return () => {
        Object.assign(globalThis, original);
        hostTimers.clear();
    };
};

/** Creates a processor that is idle. */
export const createHostProcessor = ({ cores, timePerTimer }: HostProcessorOptions): HostProcessor => {
    const queue: PendingWork[] = [];
    /** Monotonic time in ms until which the processor is busy. */
    let busyUntil = 0;
    let isWakeUpPending = false;
    let isStopped = false;

    const charge = (work: number): number => {
        const now = performance.now();
        busyUntil = Math.max(now, busyUntil) + work / cores;
        return busyUntil - now;
    };
    const runDue = (): void => {
        while (queue.length > 0 && !isStopped && busyUntil <= performance.now()) {
            const { work, action } = queue.shift() ?? { work: 0, action: () => undefined };
            charge(work);
            processor.enter(action);
        }
        if (queue.length > 0 && !isStopped && !isWakeUpPending) {
            isWakeUpPending = true;
            runOutsideHosts(() => {
                setTimeout(() => {
                    isWakeUpPending = false;
                    runDue();
                }, Math.ceil(busyUntil - performance.now()));
            });
        }
    };
    const processor: HostProcessor = {
        charge,
        enter: action => current.run({ processor, timePerTimer }, action),
        enqueue: (work, action) => {
            if (!isStopped) {
                queue.push({ work, action });
                runDue();
            }
        },
        stop: () => {
            isStopped = true;
            queue.length = 0;
        },
    };
    return processor;
};
