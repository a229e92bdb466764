import type { Environment, ServiceId } from "@jayfront/world";

import type { CallerResponse, HeaderFields } from "../http/exchange.js";
import type { RequestResult } from "../http/request-result.js";
import { resultHeader } from "../http/request-result.js";
import type { ReplayableBody } from "../util/replayable-body.js";

/** A service as the environment document declares it. */
export type ServiceDeclaration = Environment["document"]["services"][string];

/** One request on its way through this host. */
export interface RoutedRequest {
    readonly service: ServiceId;
    readonly declaration: ServiceDeclaration;
    readonly method: string;
    /** Path and query below the service. */
    readonly path: string;
    readonly headers: HeaderFields;
    readonly body: ReplayableBody;
    /** Monotonic milliseconds. */
    readonly deadline: number;
    readonly signal: AbortSignal;
    /** Hops that are left before an endpoint must be reached. */
    readonly hops: number;
}

/** First value of a header field. */
export const firstHeaderValue = (headers: HeaderFields, name: string): string | undefined => {
    const value = headers[name];
    return typeof value === "string" ? value : value?.[0];
};

/** What an answer of this host says of its request. */
export const resultOf = (response: CallerResponse): RequestResult =>
    firstHeaderValue(response.headers, resultHeader) as RequestResult;
