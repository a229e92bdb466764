/** Resolves after `milliseconds`, or at once when `signal` aborts; the returned promise never rejects. */
export const sleep = (milliseconds: number, signal?: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal?.aborted === true) {
            resolve();
            return;
        }
        const finish = (): void => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        signal?.addEventListener("abort", finish);
    });
