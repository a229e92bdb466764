import { Agent, request } from "node:http";

/** Answer to a client; undefined without one. */
export interface ClientAnswer {
    readonly status: number;
    readonly body: unknown;
}

const agent = new Agent({ keepAlive: true });

/** Calls a host as a client does; resolves to undefined without a complete answer within `timeout` milliseconds. */
export const callHost = (
    address: string,
    method: string,
    path: string,
    body?: unknown,
    timeout = 3_000,
): Promise<ClientAnswer | undefined> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const payload = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
        const headers = { host: "desk.example", "x-deadline-ms": String(timeout) };
        const outgoing = request({
            host,
            port,
            method,
            path,
            agent,
            headers: payload === undefined
                ? headers
                : { ...headers, "content-type": "application/json", "content-length": payload.length },
        });
        const timer = setTimeout(() => {
            outgoing.destroy();
            resolve(undefined);
        }, timeout);
        outgoing.on("error", () => {
            clearTimeout(timer);
            resolve(undefined);
        });
        outgoing.on("response", incoming => {
            const parts: Uint8Array[] = [];
            incoming.on("data", (part: Uint8Array) => parts.push(part));
            incoming.on("error", () => {
                resolve(undefined);
            });
            incoming.on("end", () => {
                clearTimeout(timer);
                const text = Buffer.concat(parts).toString();
                resolve({ status: incoming.statusCode ?? 0, body: text === "" ? undefined : JSON.parse(text) });
            });
        });
        outgoing.end(payload);
    });
