/** Lets one caller at a time wait for a notification or a timeout. */
export interface WakeUp {
    /** Ends the current wait; where there is none, the next wait ends at once. */
    readonly notify: () => void;
    /** Resolves on {@link WakeUp.notify}, after `milliseconds`, or when `signal` aborts. */
    readonly wait: (milliseconds: number, signal: AbortSignal) => Promise<void>;
}

/** Creates a wake-up without a pending notification. */
export const createWakeUp = (): WakeUp => {
    let isNotified = false;
    let resume: (() => void) | undefined;
    return {
        notify: () => {
            isNotified = true;
            resume?.();
        },
        wait: (milliseconds, signal) =>
            new Promise(resolve => {
                const finish = (): void => {
                    clearTimeout(timer);
                    signal.removeEventListener("abort", finish);
                    resume = undefined;
                    isNotified = false;
                    resolve();
                };
                const timer = setTimeout(finish, milliseconds);
                signal.addEventListener("abort", finish);
                resume = finish;
                if (isNotified || signal.aborted) {
                    finish();
                }
            }),
    };
};
