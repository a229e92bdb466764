import { setMaxListeners } from "node:events";

/** An abort signal with an optional parent: it aborts when its parent does or when `abort` is called. */
export interface StopSignal {
    readonly signal: AbortSignal;
    /** Aborts the signal; the parent is not affected. */
    readonly abort: () => void;
}

/** Creates a signal that also aborts when `parent` does. */
export const createStopSignal = (parent?: AbortSignal): StopSignal => {
    const controller = new AbortController();
    // Every concurrent task of a cell or host adds a listener to its signal. Node.js would report many as a leak.
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
