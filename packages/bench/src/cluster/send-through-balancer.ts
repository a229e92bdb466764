import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";

import { callJson } from "../util/call-json.js";
import type { HostProcess, ProcessCluster } from "./process-cluster.js";

/** What callers saw of one class of requests. */
export interface RequestTally {
    readonly latencies: Histogram;
    completed: number;
    notRun: number;
    unknown: number;
    /** Answers that were not the caller's own. */
    mismatched: number;
    /** Refusals and lost connections by name. */
    readonly problems: Map<string, number>;
}

/** A tally of nothing yet. */
export const createRequestTally = (): RequestTally => ({
    latencies: build(),
    completed: 0,
    notRun: 0,
    unknown: 0,
    mismatched: 0,
    problems: new Map(),
});

/** Whether the process has neither ended nor been killed. */
export const isProcessRunning = (host: HostProcess): boolean =>
    host.process.exitCode === null && host.process.signalCode === null;

const addProblem = (tally: RequestTally, name: string): void => {
    tally.problems.set(name, (tally.problems.get(name) ?? 0) + 1);
};

/** Options of {@link sendThroughBalancer}. */
export interface BalancerRequest {
    readonly service: string;
    readonly number: number;
    readonly headers?: Readonly<Record<string, string>>;
    /** Whether the balancer's health check lets requests through to the host. Default: running processes. */
    readonly isEligible?: (host: HostProcess) => boolean;
}

/** Sends one request as the platform's balancer would, and tallies what its caller saw. */
export const sendThroughBalancer = async (
    cluster: ProcessCluster,
    tally: RequestTally,
    { service, number, headers = {}, isEligible: isOpen = isProcessRunning }: BalancerRequest,
): Promise<void> => {
    const open = cluster.hosts.filter(isOpen);
    const host = open[number % open.length];
    const body = `${service}-${String(number)}`;
    const startedAt = performance.now();
    try {
        const answer = await callJson({
            address: host?.address ?? "",
            method: "POST",
            path: `/services/${service}/item`,
            body,
            headers,
        });
        tally.latencies.recordValue(Math.max(1, Math.round(performance.now() - startedAt)));
        const result = answer.headers["x-jayfront-result"];
        if (result === "completed") {
            tally.completed += 1;
            tally.mismatched += String(answer.value).endsWith(`"${body}"`) ? 0 : 1;
            return;
        }
        tally.notRun += result === "not-run" ? 1 : 0;
        tally.unknown += result === "not-run" ? 0 : 1;
        addProblem(tally, String(answer.headers["x-jayfront-problem"]));
    }
    catch {
        // The host died with the request in flight: the caller can't know.
        tally.unknown += 1;
        addProblem(tally, "connection-lost");
    }
};
