import { Worker } from "node:worker_threads";

/** Options of {@link runOnThreads}. */
export interface RunOnThreadsOptions {
    /** Module that the threads run; it replies to each message with one message. */
    readonly module: URL;
    readonly threads: number;
    /** Called after each output with the number of outputs so far. */
    readonly onOutput?: (completed: number) => void;
}

/**
 * Distributes `inputs` over worker threads. Each thread processes one input at a time; the outputs are in the order of
 * the inputs. Rejects if a thread fails.
 */
export const runOnThreads = async <Input, Output>(
    inputs: readonly Input[],
    { module, threads, onOutput }: RunOnThreadsOptions,
): Promise<readonly Output[]> => {
    const outputs = Array<Output>(inputs.length);
    let next = 0;
    let completed = 0;
    const runThread = (): Promise<void> =>
        new Promise((resolve, reject) => {
            const worker = new Worker(module);
            let current = -1;
            const sendNext = (): void => {
                current = next;
                next += 1;
                const input = inputs[current];
                if (input === undefined) {
                    void worker.terminate();
                    resolve();
                    return;
                }
                worker.postMessage(input);
            };
            worker.on("message", (output: Output) => {
                outputs[current] = output;
                completed += 1;
                onOutput?.(completed);
                sendNext();
            });
            worker.on("error", reject);
            sendNext();
        });
    await Promise.all(Array.from({ length: Math.min(threads, inputs.length) }, runThread));
    return outputs;
};
