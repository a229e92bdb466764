import { sleep } from "@jayfront/world";

const checkIntervalMs = 100;

/**
 * Waits until `condition` resolves to true; a rejection counts as false.
 * @param description What is waited for, as in "the job to settle".
 * @throws Error after `timeout` milliseconds.
 */
export const waitUntil = async (
    description: string,
    timeout: number,
    condition: () => Promise<boolean>,
): Promise<void> => {
    const deadline = performance.now() + timeout;
    while (!await condition().catch(() => false)) {
        if (performance.now() > deadline) {
            throw new Error(`waiting for ${description} timed out after ${String(timeout / 1_000)} s`);
        }
        await sleep(checkIntervalMs);
    }
};
