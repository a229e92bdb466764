import type { Worker } from "@jayfront/world";
import type { Result } from "true-myth";

import type { EndpointInterface } from "./endpoint-interface.js";
import type { PlatformError } from "./platform-error.js";
import type { Platform } from "./platform.js";

/** Sends one call to `worker`, or to the table service, object store or live list if `worker` is undefined. */
export type PlatformTransport = (
    worker: Worker | undefined,
    path: string,
    body: unknown,
) => Promise<Result<unknown, PlatformError>>;

/** Creates a client of the platform that sends calls by `transport` and requests to endpoints by `endpoints`. */
export const createPlatform = (transport: PlatformTransport, endpoints: EndpointInterface): Platform => {
    const call = async <Answer>(
        worker: Worker | undefined,
        path: string,
        body: unknown,
    ): Promise<Result<Answer, PlatformError>> => await transport(worker, path, body) as Result<Answer, PlatformError>;
    return {
        endpoints,
        table: {
            get: key => call(undefined, "/table/get", { key }),
            scan: prefix => call(undefined, "/table/scan", { prefix }),
            commit: transaction => call(undefined, "/table/commit", transaction),
        },
        objects: {
            put: (name, value) =>
                call(undefined, "/objects/put", { name, value: Buffer.from(value).toString("base64") }),
            get: async name =>
                (await call<string | undefined>(undefined, "/objects/get", { name }))
                    .map(value => value === undefined ? undefined : Buffer.from(value, "base64")),
        },
        liveList: {
            read: failureDomain => call(undefined, "/live-list/read", { failureDomain }),
            announce: host => call(undefined, "/live-list/announce", host),
        },
        workers: {
            adopt: (worker, adoption) => call(worker, "/tasks/adopt", adoption),
            renew: (worker, renewal) => call(worker, "/tasks/renew", renewal),
            start: async (worker, fence, tasks) =>
                // A task that was started is `undefined` in the response, which JSON encodes as null.
                (await call<(string | null)[]>(worker, "/tasks/start", { fence, tasks }))
                    .map(answers => answers.map(answer => answer ?? undefined)),
            throttle: (worker, fence, attempts, level) => call(worker, "/tasks/throttle", { fence, attempts, level }),
            checkpoint: (worker, fence, attempt) => call(worker, "/tasks/checkpoint", { fence, attempt }),
            stop: (worker, fence, attempts) => call(worker, "/tasks/stop", { fence, attempts }),
        },
    };
};
