import type { StateStore, StoreError } from "../port/state-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import { createResponseTimeEstimate } from "./response-time-estimate.js";

/** Options of {@link createAdaptiveTimeoutStore}. */
export interface AdaptiveTimeoutStoreOptions {
    readonly store: StateStore;
    readonly metrics: Pick<WorkflowMetrics, "storeSeconds" | "storeTimeout">;
}

/** Shortest timeout of a call in milliseconds; pauses of this process must not make answers look lost. */
const minTimeout = 400;
/** Longest timeout of a call in milliseconds; a cell's lease leaves time for two attempts to prove it. */
const maxTimeout = 2_400;

/**
 * Wraps a store so that the timeout of its reads and commits follows the time that it takes to answer. With a fixed
 * timeout, a store that is slower than that would seem to be down, and repeated calls would add to its load.
 */
export const createAdaptiveTimeoutStore = ({ store, metrics }: AdaptiveTimeoutStoreOptions): StateStore => {
    const estimate = createResponseTimeEstimate({ minTimeout, maxTimeout });
    /** Errors that the store has answered with, so that their time is a sample; a refusal takes no work. */
    const isAnswer = (error: StoreError): boolean => error.kind === "conflict";
    const measure = async <Answer extends { readonly isErr: boolean; }>(
        operation: string,
        errorOf: (answer: Answer) => StoreError | undefined,
        send: (timeout: number) => Promise<Answer>,
    ): Promise<Answer> => {
        const timeout = estimate.timeout();
        const sentAt = performance.now();
        const answer = await send(timeout);
        const took = performance.now() - sentAt;
        const error = errorOf(answer);
        if (error === undefined || isAnswer(error)) {
            estimate.recordAnswer(took);
            metrics.storeSeconds.observe({ operation }, took / 1_000);
        }
        else if (error.kind === "unknown" && took >= timeout) {
            estimate.recordTimeout(timeout);
        }
        metrics.storeTimeout.set(estimate.timeout() / 1_000);
        return answer;
    };
    return {
        commit: transaction =>
            measure(
                "commit",
                answer => answer.isErr ? answer.error : undefined,
                timeout => store.commit(transaction, timeout),
            ),
        read: async (table, partition, key, timeout) =>
            timeout === undefined
                ? measure(
                    "read",
                    answer => answer.isErr ? answer.error : undefined,
                    adaptive => store.read(table, partition, key, adaptive),
                )
                : store.read(table, partition, key, timeout),
        follow: store.follow,
    };
};
