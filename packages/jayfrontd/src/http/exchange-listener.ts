import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import { pipeline } from "node:stream";

import type { Logger } from "pino";

import { limitBody } from "../util/limit-body.js";
import type { CallerRequest, CallerResponse, HeaderFields } from "./exchange.js";
import { problem } from "./problem.js";

/** Options of {@link createExchangeListener}. */
export interface ExchangeListenerOptions {
    readonly handle: (request: CallerRequest) => Promise<CallerResponse>;
    /** Bytes of one request body. */
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
        // What is left of the request's body is not read, so that the connection can't be used again.
        outgoing.setHeader("connection", "close");
    }
    outgoing.writeHead(response.status, headers);
    // An answer that breaks off destroys the connection, so that the caller can't take it for whole.
    pipeline(response.body, outgoing, () => {
        incoming.resume();
    });
};

/** Serves HTTP requests by `handle`; bodies stream both ways. */
export const createExchangeListener = (
    { handle, bodyBytes, logger }: ExchangeListenerOptions,
): RequestListener =>
(incoming, outgoing) => {
    const gone = new AbortController();
    outgoing.on("close", () => {
        if (!outgoing.writableFinished) {
            gone.abort();
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
        signal: gone.signal,
    };
    handle(request).then(
        response => {
            writeResponse(response, outgoing, incoming);
        },
        (error: unknown) => {
            logger.error({ error, path: request.path }, "a request met an error of jayfrontd");
            writeResponse(problem("internal"), outgoing, incoming);
        },
    );
};
