import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";

import { callJson } from "../util/call-json.js";
import type { HostProcess, ProcessCluster } from "./process-cluster.js";

/** Latencies and results of one class of requests, as callers saw them. */
export interface RequestTally {
    /** Milliseconds, of requests with a response. */
    readonly latencies: Histogram;
    completed: number;
    notRun: number;
    unknown: number;
    /** Completed responses whose body does not match the caller's request. */
    mismatched: number;
    /** Number of problems by name; `connection-lost` if there was no response. */
    readonly problems: Map<string, number>;
}

/** Creates an empty tally. */
export const createRequestTally = (): RequestTally => ({
    latencies: build(),
    completed: 0,
    notRun: 0,
    unknown: 0,
    mismatched: 0,
    problems: new Map(),
});

/** Whether the process has neither exited nor been killed by a signal. */
export const isProcessRunning = (host: HostProcess): boolean =>
    host.process.exitCode === null && host.process.signalCode === null;

const addProblem = (tally: RequestTally, name: string): void => {
    tally.problems.set(name, (tally.problems.get(name) ?? 0) + 1);
};

/** Options of {@link sendThroughBalancer}. */
export interface BalancerRequest {
    readonly service: string;
    /** Number of the request; chooses the host in turn and makes the body unique. */
    readonly number: number;
    readonly headers?: Readonly<Record<string, string>>;
    /** Whether the balancer may choose the host. Default: running processes. */
    readonly isEligible?: (host: HostProcess) => boolean;
}

/** Sends one request to an eligible host, in turn, as the platform's balancer does, and adds the outcome to `tally`. */
export const sendThroughBalancer = async (
    cluster: ProcessCluster,
    tally: RequestTally,
    { service, number, headers = {}, isEligible = isProcessRunning }: BalancerRequest,
): Promise<void> => {
    const eligibleHosts = cluster.hosts.filter(isEligible);
    const host = eligibleHosts[number % eligibleHosts.length];
    const body = `${service}-${String(number)}`;
    const startedAt = performance.now();
    try {
        const response = await callJson({
            address: host?.address ?? "",
            method: "POST",
            path: `/services/${service}/item`,
            body,
            headers,
        });
        tally.latencies.recordValue(Math.max(1, Math.round(performance.now() - startedAt)));
        const result = response.headers["x-jayfront-result"];
        if (result === "completed") {
            tally.completed += 1;
            tally.mismatched += String(response.value).endsWith(`"${body}"`) ? 0 : 1;
            return;
        }
        tally.notRun += result === "not-run" ? 1 : 0;
        tally.unknown += result === "not-run" ? 0 : 1;
        addProblem(tally, String(response.headers["x-jayfront-problem"]));
    }
    catch {
        // The connection broke with the request in flight, so the caller does not know whether it ran.
        tally.unknown += 1;
        addProblem(tally, "connection-lost");
    }
};
