import { Worker } from "node:worker_threads";

/** Options of {@link runOnThreads}. */
export interface RunOnThreadsOptions {
    /** Module that answers each message by one message. */
    readonly module: URL;
    readonly threads: number;
    /** Called as answers come in. */
    readonly onOutput?: (done: number) => void;
}

/** Has threads answer `inputs`, each of which is answered alone; the answers stand in the order of the inputs. */
export const runOnThreads = async <Input, Output>(
    inputs: readonly Input[],
    { module, threads, onOutput: onAnswer }: RunOnThreadsOptions,
): Promise<readonly Output[]> => {
    const outputs = Array<Output>(inputs.length);
    let next = 0;
    let done = 0;
    const serve = (): Promise<void> =>
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
            worker.on("message", (answer: Output) => {
                outputs[current] = answer;
                done += 1;
                onAnswer?.(done);
                sendNext();
            });
            worker.on("error", reject);
            sendNext();
        });
    await Promise.all(Array.from({ length: Math.min(threads, inputs.length) }, serve));
    return outputs;
};
