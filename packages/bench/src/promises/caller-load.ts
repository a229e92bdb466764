import { sleep } from "@jayfront/world";

import type { LocalCluster, LocalHost, ObservedResponse } from "../cluster/local-cluster.js";
import type { RequestAttempt } from "./request-attempt.js";

/** Simulated callers that send requests through a balancer until they are stopped. */
export interface CallerLoad {
    /** All attempts that a host could be chosen for, in the order in which they ended. */
    readonly attempts: readonly RequestAttempt[];
    /** Stops sending; resolves once all requests in flight have ended. */
    readonly stop: () => Promise<void>;
}

/** Options of {@link startCallerLoad}. */
export interface CallerLoadOptions {
    readonly cluster: LocalCluster;
    /** Milliseconds between idempotent requests. Default 100. */
    readonly idempotentInterval?: number;
    /** Milliseconds between non-idempotent requests. Default 400. */
    readonly nonIdempotentInterval?: number;
}

const attemptsPerRequest = 3;
const retryDelayMs = 1_000;

/**
 * Starts callers that send idempotent requests to the service `render` once each, and non-idempotent requests to the
 * service `email`, each up to three times under one idempotency key until it is completed.
 */
export const startCallerLoad = (
    { cluster, idempotentInterval = 100, nonIdempotentInterval = 400 }: CallerLoadOptions,
): CallerLoad => {
    const attempts: RequestAttempt[] = [];
    const inFlight = new Set<Promise<void>>();
    const stopController = new AbortController();
    let nextHostIndex = 0;

    /** The host that the balancer chooses next: health checks exclude dead and unready hosts, but not paused ones. */
    const nextHost = (): LocalHost | undefined => {
        const ready = cluster.runningHosts().filter(host => host.isPaused() || host.entryHost()?.isReady() === true);
        nextHostIndex += 1;
        return ready[nextHostIndex % Math.max(1, ready.length)];
    };
    const sendAttempt = async (
        service: string,
        requestId: string,
        idempotencyKey: string | undefined,
    ): Promise<ObservedResponse | undefined> => {
        const host = nextHost();
        if (host === undefined) {
            return undefined;
        }
        const body = `body-of-${idempotencyKey ?? requestId}`;
        const headers = {
            "x-request-id": requestId,
            ...(idempotencyKey === undefined ? {} : { "idempotency-key": idempotencyKey }),
        };
        const response = await cluster.send(host, { path: `/services/${service}/item`, body, headers });
        attempts.push({ requestId, service, key: idempotencyKey, body, host: host.id, response });
        return response;
    };
    const sendWithRetries = async (number: number): Promise<void> => {
        const idempotencyKey = `key-${String(number)}`;
        for (let attempt = 0; attempt < attemptsPerRequest; attempt += 1) {
            const response = await sendAttempt(
                "email",
                `email-${String(number)}-try-${String(attempt)}`,
                idempotencyKey,
            );
            if (response?.result === "completed") {
                return;
            }
            await sleep(retryDelayMs);
        }
    };
    const track = (sending: Promise<unknown>): void => {
        const settled = sending.then(() => undefined).finally(() => {
            inFlight.delete(settled);
        });
        inFlight.add(settled);
    };
    const sendPeriodically = async (interval: number, send: (number: number) => Promise<unknown>): Promise<void> => {
        for (let number = 0; !stopController.signal.aborted; number += 1) {
            track(send(number));
            await sleep(interval, stopController.signal);
        }
    };
    void sendPeriodically(idempotentInterval, number => sendAttempt("render", `render-${String(number)}`, undefined));
    void sendPeriodically(nonIdempotentInterval, sendWithRetries);
    return {
        attempts,
        stop: async () => {
            stopController.abort();
            await Promise.all(inFlight);
        },
    };
};
