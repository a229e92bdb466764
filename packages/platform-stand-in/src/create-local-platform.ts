import { Readable } from "node:stream";

import type { EndpointInterface, Platform, PlatformError } from "@jayfront/platform";
import { createPlatform, platformErrors } from "@jayfront/platform";
import { sleep } from "@jayfront/world";
import { Result } from "true-myth";

import type { StandIn } from "./stand-in.js";

/** Milliseconds after which an unanswered request fails as `unknown`. */
const requestTimeout = 1_000;

const singleHeader = (value: string | readonly string[] | undefined): string | undefined =>
    typeof value === "string" ? value : value?.[0];

const readAll = async (body: Readable): Promise<Buffer> => {
    const parts: Uint8Array[] = [];
    for await (const part of body) {
        parts.push(Buffer.from(part as Uint8Array));
    }
    return Buffer.concat(parts);
};

/**
 * Calls the endpoints of `standIn` in this process, without a network. `from` is the caller's failure domain and host.
 * An endpoint responds with `<worker> <body>`.
 */
const createLocalEndpoints = (standIn: StandIn, from: readonly string[]): EndpointInterface => ({
    dispatch: async (worker, request) => {
        const path = `${worker.id}/${request.service}`;
        const unknown = Result.err<never, PlatformError>(platformErrors.unknown(path));
        const triggered = standIn.faults.trigger({
            door: "endpoint",
            path,
            from,
            to: [worker.id, worker.failureDomain],
        });
        const machine = standIn.machines.get(worker.id);
        if (
            machine === undefined || machine.condition() === "dead"
            || triggered.some(fault => fault.action === "outage")
        ) {
            return Result.err(platformErrors.unavailable(path));
        }
        if (machine.condition() === "paused" || triggered.some(fault => fault.action === "drop")) {
            await sleep(requestTimeout, request.signal);
            return unknown;
        }
        const body = await readAll(request.body);
        const admitted = machine.admit(request.fence, request.service, singleHeader(request.headers["x-request-id"]));
        if (admitted.isErr) {
            return Result.err(platformErrors.refused(path, admitted.error));
        }
        await sleep(admitted.value.latency, request.signal);
        const isAlive = standIn.machines.get(worker.id)?.condition() === "up";
        admitted.value.end();
        if (!isAlive || request.signal.aborted || triggered.some(fault => fault.action === "lose-reply")) {
            return unknown;
        }
        return Result.ok({ status: 200, headers: {}, body: Readable.from([Buffer.from(`${worker.id} `), body]) });
    },
});

/** Creates a client that calls `standIn` in this process, as a caller at `from`: its failure domain and host. */
export const createLocalPlatform = (standIn: StandIn, from: readonly string[]): Platform =>
    createPlatform(standIn.transport(from), createLocalEndpoints(standIn, from));
