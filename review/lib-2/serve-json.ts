import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";

/** A call with a decoded JSON body. */
export interface JsonCall {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly body: Readonly<Record<string, unknown>>;
}

/** An answer with a JSON body; undefined: the connection ends without an answer. */
export type JsonAnswer = { readonly status: number; readonly body?: object; } | undefined;

/** Options of {@link serveJson}. */
export interface ServeOptions {
    readonly address: string;
    readonly port: number;
    readonly handle: (call: JsonCall) => JsonAnswer | Promise<JsonAnswer>;
    /**
     * Resolves once bytes pass between the server and its callers. A call of which the caller has given up meanwhile is
     * not handled, and its answer is dropped.
     */
    readonly whenConnected?: () => Promise<void>;
}

const readBody = async (incoming: IncomingMessage): Promise<JsonCall["body"]> => {
    const parts: Uint8Array[] = [];
    for await (const part of incoming) {
        parts.push(Buffer.from(part as Uint8Array));
    }
    const text = Buffer.concat(parts).toString();
    return text === "" ? {} : JSON.parse(text) as JsonCall["body"];
};

/** Starts a server for JSON calls on a loopback address. */
export const serveJson = async (options: ServeOptions): Promise<Server> => {
    const { address, port, handle, whenConnected = () => Promise.resolve() } = options;
    const respond = async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
        const body = await readBody(incoming);
        await whenConnected();
        if (outgoing.destroyed) {
            return;
        }
        const url = new URL(incoming.url ?? "/", "http://loopback");
        const answer = await handle({
            method: incoming.method ?? "GET",
            path: url.pathname,
            query: url.searchParams,
            headers: incoming.headers,
            body,
        });
        await whenConnected();
        if (answer === undefined) {
            outgoing.destroy();
            return;
        }
        outgoing.writeHead(answer.status, { "content-type": "application/json" });
        outgoing.end(answer.body === undefined ? "" : JSON.stringify(answer.body));
    };
    const server = createServer({ keepAliveTimeout: 60_000 }, (incoming, outgoing) => {
        respond(incoming, outgoing).catch(() => {
            outgoing.destroy();
        });
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, resolve);
    });
    return server;
};

/** Stops a server: connections are reset, and new ones are refused. */
export const closeServer = async (server: Server): Promise<void> => {
    await new Promise<void>(resolve => {
        server.close(() => {
            resolve();
        });
        server.closeAllConnections();
    });
};
