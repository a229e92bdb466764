import { Agent, request } from "node:http";

/** An answer read whole. */
export interface JsonResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Parsed JSON, or the text where it is none. */
    readonly value: unknown;
}

/** One call of {@link callJson}. */
export interface JsonRequest {
    /** `IP:port`. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Sent as JSON; nothing when undefined. */
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** Milliseconds until the call is given up. Default 10,000. */
    readonly timeout?: number;
}

const agent = new Agent({ keepAlive: true, maxSockets: 256 });

const parse = (text: string): unknown => {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return text;
    }
};

/** Calls a daemon or stand-in on loopback; rejects where no whole answer comes. */
export const callJson = (call: JsonRequest): Promise<JsonResponse> =>
    new Promise((resolve, reject) => {
        const [host, port] = call.address.split(":");
        const wire = request({
            host,
            port,
            method: call.method,
            path: call.path,
            agent,
            headers: { ...call.headers },
            signal: AbortSignal.timeout(call.timeout ?? 10_000),
        });
        wire.on("response", response => {
            const parts: Uint8Array[] = [];
            response.on("data", (part: Uint8Array) => parts.push(part));
            response.on("end", () => {
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    value: parse(Buffer.concat(parts).toString()),
                });
            });
            response.on("error", reject);
        });
        wire.on("error", reject);
        wire.end(call.body === undefined ? undefined : JSON.stringify(call.body));
    });
