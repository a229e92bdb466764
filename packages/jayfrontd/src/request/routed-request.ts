import type { Environment, ServiceId } from "@jayfront/world";

import type { CallerResponse, HeaderFields } from "../http/exchange.js";
import type { RequestResult } from "../http/request-result.js";
import { resultHeader } from "../http/request-result.js";
import type { ReplayableBody } from "../util/replayable-body.js";

/** A service as the environment document declares it. */
export type ServiceDeclaration = Environment["document"]["services"][string];

/** A request to a service while this host routes it. */
export interface RoutedRequest {
    readonly service: ServiceId;
    /** Declaration of the service in the environment document in force. */
    readonly declaration: ServiceDeclaration;
    readonly method: string;
    /** Path and query after `/services/NAME`. */
    readonly path: string;
    readonly headers: HeaderFields;
    readonly body: ReplayableBody;
    /** Monotonic time in milliseconds. */
    readonly deadline: number;
    /** Aborted when the caller disconnects, and at the deadline if no response has arrived by then. */
    readonly signal: AbortSignal;
    /** Number of times that the request may still be forwarded to another entry host. */
    readonly hops: number;
}

/** First value of the header `name`; undefined if it is absent. */
export const firstHeaderValue = (headers: HeaderFields, name: string): string | undefined => {
    const value = headers[name];
    return typeof value === "string" ? value : value?.[0];
};

/** Whether the request of `response` was executed. The response must have the result header. */
export const resultOf = (response: CallerResponse): RequestResult =>
    firstHeaderValue(response.headers, resultHeader) as RequestResult;
