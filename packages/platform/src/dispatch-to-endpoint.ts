import { Agent, request } from "node:http";
import type { IncomingMessage } from "node:http";
import { pipeline } from "node:stream";

import type { Worker } from "@jayfront/world";
import { Result } from "true-myth";

import type { EndpointRequest, EndpointResponse } from "./endpoint-interface.js";
import type { PlatformError } from "./platform-error.js";
import { platformErrors } from "./util/platform-errors.js";
import { watchConnection } from "./util/watch-connection.js";

const statusRefused = 422;
const refusalHeader = "x-worker-refused";

const agents = new Map<string, Agent>();

/** Returns the worker's own agent, which keeps the number of connections within the worker's limit. */
const agentOf = (worker: Worker): Agent => {
    const agent = agents.get(worker.address) ?? new Agent({ keepAlive: true, maxSockets: worker.connections });
    agents.set(worker.address, agent);
    return agent;
};

const readHeaders = (response: IncomingMessage): Record<string, string | readonly string[]> =>
    Object.fromEntries(Object.entries(response.headers).filter(([, value]) => value !== undefined)) as Record<
        string,
        string | string[]
    >;

/** Sends a request over HTTP to the endpoint of its service on `worker`. */
export const dispatchToEndpoint = (
    worker: Worker,
    endpointRequest: EndpointRequest,
): Promise<Result<EndpointResponse, PlatformError>> =>
    new Promise(resolve => {
        const call = `${worker.id}/${endpointRequest.service}`;
        const [host, port] = worker.address.split(":");
        const clientRequest = request({
            host,
            port,
            method: endpointRequest.method,
            path: `/services/${endpointRequest.service}${endpointRequest.path}`,
            agent: agentOf(worker),
            headers: {
                ...endpointRequest.headers,
                "x-worker-fence": `${String(endpointRequest.fence.epoch)}.${String(endpointRequest.fence.term)}`,
            },
            signal: endpointRequest.signal,
        });
        const isConnected = watchConnection(clientRequest);
        clientRequest.on("response", response => {
            const refusal = response.headers[refusalHeader];
            if (response.statusCode === statusRefused && typeof refusal === "string") {
                response.resume();
                endpointRequest.body.unpipe(clientRequest);
                clientRequest.destroy();
                resolve(Result.err(platformErrors.refused(call, refusal)));
                return;
            }
            resolve(Result.ok({ status: response.statusCode ?? 502, headers: readHeaders(response), body: response }));
        });
        pipeline(endpointRequest.body, clientRequest, () => {
            // The "error" handler below reports errors of both streams.
        });
        clientRequest.on("error", () => {
            resolve(Result.err(isConnected() ? platformErrors.unknown(call) : platformErrors.unavailable(call)));
        });
    });
