import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import { pipeline } from "node:stream";

import type { Logger } from "pino";

import { limitBody } from "../util/limit-body.js";
import type { CallerRequest, CallerResponse, HeaderFields } from "./exchange.js";
import { problem } from "./problem.js";

/** Options of {@link createExchangeListener}. */
export interface ExchangeListenerOptions {
    readonly handle: (request: CallerRequest) => Promise<CallerResponse>;
    /** Maximum length of a request body in bytes. */
    readonly bodyBytes: number;
    readonly logger: Logger;
}

const readHeaders = (incoming: IncomingMessage): HeaderFields => {
    const headers: Record<string, string | readonly string[]> = {};
    for (const [name, value] of Object.entries(incoming.headers)) {
        if (value !== undefined) {
            headers[name] = value;
        }
    }
    return headers;
};

const writeResponse = (response: CallerResponse, outgoing: ServerResponse, incoming: IncomingMessage): void => {
    const headers = Object.fromEntries(
        Object.entries(response.headers).map(([name, value]) => [name, typeof value === "string" ? value : [...value]]),
    );
    if (!incoming.complete) {
        // The rest of the request's body may stay unread, so the connection must not be reused.
        outgoing.setHeader("connection", "close");
    }
    outgoing.writeHead(response.status, headers);
    // If the body fails, pipeline destroys the connection, so that the caller notices that the response is truncated.
    pipeline(response.body, outgoing, () => {
        incoming.resume();
    });
};

/** Creates an HTTP listener that answers requests with `handle`; request and response bodies are streamed. */
export const createExchangeListener = (
    { handle, bodyBytes, logger }: ExchangeListenerOptions,
): RequestListener =>
(incoming, outgoing) => {
    const callerAbort = new AbortController();
    outgoing.on("close", () => {
        if (!outgoing.writableFinished) {
            callerAbort.abort();
        }
    });
    if (Number(incoming.headers["content-length"] ?? 0) > bodyBytes) {
        writeResponse(problem("body-too-large", `the limit is ${String(bodyBytes)} bytes`), outgoing, incoming);
        return;
    }
    const request: CallerRequest = {
        method: incoming.method ?? "GET",
        path: incoming.url ?? "/",
        headers: readHeaders(incoming),
        body: limitBody(incoming, bodyBytes),
        signal: callerAbort.signal,
    };
    handle(request).then(
        response => {
            writeResponse(response, outgoing, incoming);
        },
        (error: unknown) => {
            logger.error({ error, path: request.path }, "internal error while handling a request");
            writeResponse(problem("internal"), outgoing, incoming);
        },
    );
};
