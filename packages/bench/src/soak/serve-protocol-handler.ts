import type { Server } from "node:http";
import { createServer } from "node:http";

import { readBody } from "@jayfront/jayfrontd";
import type { ProtocolHandler } from "@jayfront/platform-stand-in";
import { connectionLostStatus } from "@jayfront/platform-stand-in";

/** Bytes; the largest bodies are transactions of the platform's store. */
const maxBodyBytes = 1_024 * 1_024;

/**
 * Serves a handler of the platform stand-in by HTTP on a loopback port. `handlerOf` is called for each request; if it
 * returns undefined, the connection is closed without an answer.
 */
export const serveProtocolHandler = async (
    port: number,
    handlerOf: () => ProtocolHandler | undefined,
): Promise<Server> => {
    const server = createServer((incoming, outgoing) => {
        const handle = async (): Promise<void> => {
            const body = await readBody(incoming, maxBodyBytes);
            const url = new URL(incoming.url ?? "/", "http://loopback");
            const answer = await handlerOf()?.({
                method: incoming.method ?? "GET",
                path: url.pathname,
                query: url.searchParams,
                body: body === undefined || body.length === 0 ? undefined : JSON.parse(body.toString()) as unknown,
                headers: Object.fromEntries(
                    Object.entries(incoming.headers).map(([name, value]) => [name, String(value)]),
                ),
            });
            if (answer === undefined || answer.status === connectionLostStatus) {
                incoming.socket.destroy();
                return;
            }
            outgoing.writeHead(answer.status, { "content-type": "application/json" });
            outgoing.end(answer.body === undefined ? "" : JSON.stringify(answer.body));
        };
        handle().catch(() => {
            incoming.socket.destroy();
        });
    });
    await new Promise<void>(resolve => {
        server.listen(port, "127.0.0.1", resolve);
    });
    return server;
};
