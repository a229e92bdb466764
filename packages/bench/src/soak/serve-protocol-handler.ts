import type { Server } from "node:http";
import { createServer } from "node:http";

import { readBody } from "@jayfront/jayfrontd";
import type { ProtocolHandler } from "@jayfront/platform-stand-in";
import { connectionLostStatus } from "@jayfront/platform-stand-in";

/** Bytes of the largest body: a transaction of the platform's store. */
const largestBody = 1_024 * 1_024;

/** Serves a stand-in's door by HTTP on a port of loopback. */
export const serveProtocolHandler = async (port: number, door: () => ProtocolHandler | undefined): Promise<Server> => {
    const server = createServer((incoming, outgoing) => {
        const answer = async (): Promise<void> => {
            const body = await readBody(incoming, largestBody);
            const url = new URL(incoming.url ?? "/", "http://loopback");
            const answered = await door()?.({
                method: incoming.method ?? "GET",
                path: url.pathname,
                query: url.searchParams,
                body: body === undefined || body.length === 0 ? undefined : JSON.parse(body.toString()) as unknown,
                headers: Object.fromEntries(
                    Object.entries(incoming.headers).map(([name, value]) => [name, String(value)]),
                ),
            });
            if (answered === undefined || answered.status === connectionLostStatus) {
                incoming.socket.destroy();
                return;
            }
            outgoing.writeHead(answered.status, { "content-type": "application/json" });
            outgoing.end(answered.body === undefined ? "" : JSON.stringify(answered.body));
        };
        answer().catch(() => {
            incoming.socket.destroy();
        });
    });
    await new Promise<void>(resolve => {
        server.listen(port, "127.0.0.1", resolve);
    });
    return server;
};
