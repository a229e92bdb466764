import type { ProtocolHandler } from "@jayfront/platform-stand-in";
import { connectionLostStatus } from "@jayfront/platform-stand-in";
import type { IncomingMessage, Server } from "node:http";
import { createServer } from "node:http";

/** Bytes of a body above which the answer is 413; a handler answers what is over the limits of the pages. */
const maxBodyBytes = 64 * 1_024 * 1_024;

const readBody = async (incoming: IncomingMessage): Promise<string | undefined> => {
    const parts: Buffer[] = [];
    let bytes = 0;
    for await (const part of incoming as AsyncIterable<Buffer>) {
        bytes += part.length;
        if (bytes <= maxBodyBytes) {
            parts.push(part);
        }
    }
    return bytes > maxBodyBytes ? undefined : Buffer.concat(parts).toString();
};

/** Serves a handler of the stand-in by HTTP; without one, the connection is closed without an answer. */
export const serveHandler = async (port: number, handlerOf: () => ProtocolHandler | undefined): Promise<Server> => {
    const server = createServer((incoming, outgoing) => {
        const handle = async (): Promise<void> => {
            const body = await readBody(incoming);
            if (body === undefined) {
                outgoing.writeHead(413).end();
                return;
            }
            const url = new URL(incoming.url ?? "/", "http://loopback");
            const answer = await handlerOf()?.({
                method: incoming.method ?? "GET",
                path: url.pathname,
                query: url.searchParams,
                body: body === "" ? undefined : JSON.parse(body) as unknown,
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
