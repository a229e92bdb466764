import type { IncomingMessage, Server } from "node:http";
import { createServer } from "node:http";

/** A call with its JSON body decoded. */
export interface Call {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly body: unknown;
    /** Length of the body as sent. */
    readonly bytes: number;
    readonly headers: Readonly<Record<string, string>>;
}

/** Answer to a call; `drop` closes the connection without one, `silent` keeps it open without one. */
export type Answer = { readonly status: number; readonly body?: unknown; } | "drop" | "silent";

const readText = async (incoming: IncomingMessage): Promise<string> => {
    const parts: Uint8Array[] = [];
    for await (const part of incoming) {
        parts.push(part as Uint8Array);
    }
    return Buffer.concat(parts).toString();
};

/** Serves HTTP with JSON bodies at `address`, of the form IP:port. */
export const serve = async (
    address: string,
    handle: (call: Call) => Answer | Promise<Answer>,
): Promise<Server> => {
    const respond = async (incoming: IncomingMessage): Promise<Answer> => {
        const text = await readText(incoming);
        const url = new URL(incoming.url ?? "/", "http://loopback");
        return handle({
            method: incoming.method ?? "GET",
            path: url.pathname,
            query: url.searchParams,
            body: text === "" ? undefined : JSON.parse(text) as unknown,
            bytes: Buffer.byteLength(text),
            headers: Object.fromEntries(Object.entries(incoming.headers).map(([name, value]) => [name, String(value)])),
        });
    };
    const server = createServer({ keepAliveTimeout: 60_000 }, (incoming, outgoing) => {
        respond(incoming).then(answer => {
            if (answer === "drop") {
                incoming.socket.destroy();
            }
            else if (answer !== "silent") {
                outgoing.writeHead(answer.status, { "content-type": "application/json" });
                outgoing.end(answer.body === undefined ? "" : JSON.stringify(answer.body));
            }
        }).catch(() => {
            incoming.socket.destroy();
        });
    });
    const [host = "", port = ""] = address.split(":");
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, resolve);
    });
    return server;
};
