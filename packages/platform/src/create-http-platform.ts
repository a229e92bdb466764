import type { FailureDomainId } from "@jayfront/world";

import { callPlatform } from "./call-platform.js";
import { createPlatform } from "./create-platform.js";
import { dispatchToEndpoint } from "./dispatch-to-endpoint.js";
import type { Platform } from "./platform.js";

/** Options of {@link createHttpPlatform}. */
export interface HttpPlatformOptions {
    /** `IP:port` of the table service, object store and live list. */
    readonly address: string;
    /** Failure domain in which this process runs. */
    readonly failureDomain: FailureDomainId;
    /** Timeout in milliseconds of a call to the table service, object store or live list. Default 2,000. */
    readonly storeTimeout?: number;
    /** Timeout in milliseconds of a call to a worker. Default 1,000. */
    readonly workerTimeout?: number;
}

/** Creates a client of the platform that uses HTTP. */
export const createHttpPlatform = ({
    address,
    failureDomain,
    storeTimeout = 2_000,
    workerTimeout = 1_000,
}: HttpPlatformOptions): Platform =>
    createPlatform(
        (worker, path, body) =>
            callPlatform({
                address: worker?.address ?? address,
                path,
                body,
                timeout: worker === undefined ? storeTimeout : workerTimeout,
                failureDomain,
            }),
        { dispatch: dispatchToEndpoint },
    );
