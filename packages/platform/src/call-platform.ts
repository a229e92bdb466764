import { Agent, request } from "node:http";

import { Result } from "true-myth";

import type { PlatformError } from "./platform-error.js";
import { platformErrors } from "./util/platform-errors.js";
import { watchConnection } from "./util/watch-connection.js";

/** One HTTP call to the platform. */
export interface PlatformCall {
    /** `IP:port` of the service. */
    readonly address: string;
    /** Path with a leading slash; error messages name the call by it. */
    readonly path: string;
    /** Sent as JSON. */
    readonly body: unknown;
    /** Milliseconds without a complete response after which the outcome counts as unknown. */
    readonly timeout: number;
    /** Failure domain of the caller, sent as `x-failure-domain`. */
    readonly failureDomain: string;
}

const agent = new Agent({ keepAlive: true });
const statusConflict = 409;
const statusRefused = 422;
const statusUnavailable = 503;

const readResponse = (call: PlatformCall, status: number, text: string): Result<unknown, PlatformError> => {
    if (status === statusConflict) {
        return Result.err(platformErrors.conflict(call.path));
    }
    if (status === statusUnavailable) {
        return Result.err(platformErrors.unavailable(call.path));
    }
    if (status === statusRefused) {
        return Result.err(platformErrors.refused(call.path, text));
    }
    if (status !== 200) {
        return Result.err(platformErrors.unknown(call.path));
    }
    try {
        return Result.ok(text === "" ? undefined : JSON.parse(text) as unknown);
    }
    catch {
        return Result.err(platformErrors.unknown(call.path));
    }
};

/** Sends `call` as a POST request and decodes the JSON response. Fails with any kind of {@link PlatformError}. */
export const callPlatform = <Answer>(call: PlatformCall): Promise<Result<Answer, PlatformError>> =>
    new Promise(resolve => {
        const [host, port] = call.address.split(":");
        const body = JSON.stringify(call.body);
        const clientRequest = request({
            host,
            port,
            path: call.path,
            method: "POST",
            agent,
            headers: {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
                "x-failure-domain": call.failureDomain,
            },
        });
        const timer = setTimeout(() => {
            clientRequest.destroy(new Error("timeout"));
        }, call.timeout);
        const finish = (result: Result<unknown, PlatformError>): void => {
            clearTimeout(timer);
            resolve(result as Result<Answer, PlatformError>);
        };
        const isConnected = watchConnection(clientRequest);
        clientRequest.on("response", response => {
            const parts: Buffer[] = [];
            response.on("data", (part: Buffer) => parts.push(part));
            response.on("end", () => {
                finish(readResponse(call, response.statusCode ?? 0, Buffer.concat(parts).toString()));
            });
            response.on("error", () => {
                finish(Result.err(platformErrors.unknown(call.path)));
            });
        });
        clientRequest.on("error", () => {
            // Without an established connection, no byte of the call can have been sent.
            const error = isConnected() ? platformErrors.unknown(call.path) : platformErrors.unavailable(call.path);
            finish(Result.err(error));
        });
        clientRequest.end(body);
    });
