import { setMaxListeners } from "node:events";

/** A signal that aborts with `parent` or by its own `abort`. */
export interface StopSignal {
    readonly signal: AbortSignal;
    readonly abort: () => void;
}

/** Creates a signal below `parent`; aborting it leaves `parent` as it is. */
export const createStopSignal = (parent?: AbortSignal): StopSignal => {
    const controller = new AbortController();
    // Every task of a cell or host waits on its signal; their number is no leak.
    setMaxListeners(0, controller.signal);
    const abort = (): void => {
        parent?.removeEventListener("abort", abort);
        controller.abort();
    };
    if (parent?.aborted === true) {
        controller.abort();
    }
    parent?.addEventListener("abort", abort);
    return { signal: controller.signal, abort };
};
