import { sleep } from "@jayfront/world";

import type { LocalCluster, LocalHost, ObservedResponse } from "../cluster/local-cluster.js";
import type { RequestAttempt } from "./request-attempt.js";

/** Callers that send requests through the balancer until they are told to stop. */
export interface CallerLoad {
    readonly attempts: readonly RequestAttempt[];
    /** Ends the sending; resolves when every answer has come. */
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

const triesOfCaller = 3;
const retryDelay = 1_000;

/** Starts callers: idempotent renders, and e-mails that are repeated under one key when their fate is unclear. */
export const startCallerLoad = (
    { cluster, idempotentInterval: spacing = 100, nonIdempotentInterval: onceSpacing = 400 }: CallerLoadOptions,
): CallerLoad => {
    const records: RequestAttempt[] = [];
    const inFlight = new Set<Promise<void>>();
    const stopping = new AbortController();
    let turn = 0;

    /** The balancer's next host: its health check has seen dead hosts go, but not paused ones. */
    const nextHost = (): LocalHost | undefined => {
        const ready = cluster.runningHosts().filter(host => host.isPaused() || host.entryHost()?.isReady() === true);
        turn += 1;
        return ready[turn % Math.max(1, ready.length)];
    };
    const trySend = async (
        service: string,
        request: string,
        key: string | undefined,
    ): Promise<ObservedResponse | undefined> => {
        const host = nextHost();
        if (host === undefined) {
            return undefined;
        }
        const body = `body-of-${key ?? request}`;
        const headers = { "x-request-id": request, ...(key === undefined ? {} : { "idempotency-key": key }) };
        const view = await cluster.send(host, { path: `/services/${service}/item`, body, headers });
        records.push({ requestId: request, service, key, body, host: host.id, response: view });
        return view;
    };
    const sendOnce = async (number: number): Promise<void> => {
        const key = `key-${String(number)}`;
        for (let count = 0; count < triesOfCaller; count += 1) {
            const view = await trySend("email", `email-${String(number)}-try-${String(count)}`, key);
            if (view?.result === "completed") {
                return;
            }
            await sleep(retryDelay);
        }
    };
    const track = (work: Promise<unknown>): void => {
        const tracked = work.then(() => undefined).finally(() => {
            inFlight.delete(tracked);
        });
        inFlight.add(tracked);
    };
    const run = async (milliseconds: number, send: (number: number) => Promise<unknown>): Promise<void> => {
        for (let number = 0; !stopping.signal.aborted; number += 1) {
            track(send(number));
            await sleep(milliseconds, stopping.signal);
        }
    };
    void run(spacing, number => trySend("render", `render-${String(number)}`, undefined));
    void run(onceSpacing, sendOnce);
    return {
        attempts: records,
        stop: async () => {
            stopping.abort();
            await Promise.all(inFlight);
        },
    };
};
