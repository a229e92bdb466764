import { Counter, Gauge, Histogram, Registry } from "prom-client";

import type { RefusalCounter } from "./http/refusal-recorder.js";
import { createRefusalCounter } from "./http/refusal-recorder.js";

/** Metrics of an entry host. Label values come from the environment document or fixed lists, so they are bounded. */
export interface Metrics {
    readonly registry: Registry;
    /** Seconds from the receipt of a request to its response, by team, service and result. */
    readonly requestSeconds: Histogram<"team" | "service" | "result">;
    /** Refused requests and jobs, by problem. */
    readonly refusals: Counter<"problem">;
    /** Requests sent again to another target. */
    readonly retries: Counter;
    /** Seconds from when a task was startable until its start was ordered, by team and batch class. */
    readonly taskWaitSeconds: Histogram<"team" | "class">;
    /** Seconds that task attempts ran, by team, batch class and outcome. */
    readonly taskRunSeconds: Histogram<"team" | "class" | "outcome">;
    /** Throttle orders, by direction. */
    readonly throttles: Counter<"direction">;
    /** Evictions of batch tasks, by reason. */
    readonly evictions: Counter<"reason">;
    /** Cells taken, served as caretaker, handed over and lost, by kind of change. */
    readonly cellChanges: Counter<"change">;
    /** Transactions sent to the store, by purpose. */
    readonly storeWrites: Counter<"purpose">;
    /** Bytes sent to other entry hosts, by link (within the failure domain, or remote) and purpose. */
    readonly linkBytes: Counter<"link" | "purpose">;
    /** Version of the environment document in force. */
    readonly environmentVersion: Gauge;
    /** Requests that this host handles now. */
    readonly requestsInFlight: Gauge;
    /** Connections closed and requests refused because a client exceeded a limit. */
    readonly connectionRefusals: RefusalCounter;
}

/** Upper bounds of the request histogram's buckets in seconds. */
const requestBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 5, 15];
/** Upper bounds of the task histograms' buckets in seconds. */
const taskBuckets = [0.1, 0.5, 1, 2.7, 10, 30, 60, 300, 1_800, 7_200];

/** Creates a registry and the metrics in it. */
export const createMetrics = (): Metrics => {
    const registry = new Registry();
    const registers = [registry];
    return {
        registry,
        requestSeconds: new Histogram({
            name: "jayfront_request_seconds",
            help: "Seconds from a request's receipt to its answer",
            labelNames: ["team", "service", "result"],
            buckets: requestBuckets,
            registers,
        }),
        refusals: new Counter({
            name: "jayfront_refusals_total",
            help: "Requests and jobs refused, by problem",
            labelNames: ["problem"],
            registers,
        }),
        retries: new Counter({
            name: "jayfront_retries_total",
            help: "Requests sent again to another cell",
            registers,
        }),
        taskWaitSeconds: new Histogram({
            name: "jayfront_task_wait_seconds",
            help: "Seconds that tasks waited for their start",
            labelNames: ["team", "class"],
            buckets: taskBuckets,
            registers,
        }),
        taskRunSeconds: new Histogram({
            name: "jayfront_task_run_seconds",
            help: "Seconds that task attempts ran",
            labelNames: ["team", "class", "outcome"],
            buckets: taskBuckets,
            registers,
        }),
        throttles: new Counter({
            name: "jayfront_throttles_total",
            help: "Throttle orders, by direction",
            labelNames: ["direction"],
            registers,
        }),
        evictions: new Counter({
            name: "jayfront_evictions_total",
            help: "Evictions of batch tasks, by reason",
            labelNames: ["reason"],
            registers,
        }),
        cellChanges: new Counter({
            name: "jayfront_cell_changes_total",
            help: "Cells taken, handed over and lost",
            labelNames: ["change"],
            registers,
        }),
        storeWrites: new Counter({
            name: "jayfront_store_writes_total",
            help: "Transactions sent to the store, by purpose",
            labelNames: ["purpose"],
            registers,
        }),
        linkBytes: new Counter({
            name: "jayfront_link_bytes_total",
            help: "Bytes sent to other entry hosts, by link and purpose",
            labelNames: ["link", "purpose"],
            registers,
        }),
        environmentVersion: new Gauge({
            name: "jayfront_environment_version",
            help: "Version of the environment document in force",
            registers,
        }),
        requestsInFlight: new Gauge({
            name: "jayfront_requests_in_flight",
            help: "Requests that this host handles now",
            registers,
        }),
        connectionRefusals: createRefusalCounter(registry),
    };
};
