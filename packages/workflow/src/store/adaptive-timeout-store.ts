import type { Result } from "true-myth";

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
/** Least milliseconds between two moments at which all connections are closed. */
const reconnectInterval = 1_000;
/** Longest timeout of a call in milliseconds; a cell's lease leaves time for two attempts to prove it. */
const maxTimeout = 2_400;

/**
 * Wraps a store so that the timeout of its reads and commits follows the time that it takes to answer. With a fixed
 * timeout, a store that is slower than that would seem to be down, and repeated calls would add to its load.
 */
export const createAdaptiveTimeoutStore = ({ store, metrics }: AdaptiveTimeoutStoreOptions): StateStore => {
    const estimate = createResponseTimeEstimate({ minTimeout, maxTimeout });
    let reconnectedAt = -Infinity;
    const measure = async <Value>(
        operation: string,
        send: (timeout: number) => Promise<Result<Value, StoreError>>,
    ): Promise<Result<Value, StoreError>> => {
        const timeout = estimate.timeout();
        const sentAt = performance.now();
        const result = await send(timeout);
        const took = performance.now() - sentAt;
        // A refusal takes the store no work, so that its time says nothing.
        if (result.isOk || result.error.kind === "conflict") {
            estimate.recordAnswer(took);
            metrics.storeSeconds.observe({ operation }, took / 1_000);
        }
        else if (result.error.kind === "unknown" && took >= timeout) {
            estimate.recordTimeout(timeout);
        }
        metrics.storeTimeout.set(estimate.timeout() / 1_000);
        return result;
    };
    return {
        limits: store.limits,
        commit: transaction => measure("commit", timeout => store.commit(transaction, timeout)),
        read: (table, partition, key, timeout) =>
            timeout === undefined
                ? measure("read", adaptive => store.read(table, partition, key, adaptive))
                : store.read(table, partition, key, timeout),
        follow: store.follow,
        reconnect: () => {
            // Cells of one host may ask for it at the same time, and would end each other's calls.
            if (performance.now() - reconnectedAt >= reconnectInterval) {
                reconnectedAt = performance.now();
                store.reconnect();
            }
        },
    };
};
