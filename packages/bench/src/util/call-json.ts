import { Agent, request } from "node:http";

/** A complete HTTP response. */
export interface JsonResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    /** Parsed JSON, or the text if the body is not JSON. */
    readonly value: unknown;
}

/** Options of {@link callJson}. */
export interface JsonRequest {
    /** `IP:port`. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    /** Sent as JSON; the body is empty if undefined. */
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** Milliseconds until the call is aborted. Default 10,000. */
    readonly timeout?: number;
}

const agent = new Agent({ keepAlive: true, maxSockets: 256 });

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return text;
    }
};

/** Calls an entry host or the stand-in over HTTP; rejects if no complete response arrives within the timeout. */
export const callJson = (options: JsonRequest): Promise<JsonResponse> =>
    new Promise((resolve, reject) => {
        const [host, port] = options.address.split(":");
        const outgoing = request({
            host,
            port,
            method: options.method,
            path: options.path,
            agent,
            headers: { ...options.headers },
            signal: AbortSignal.timeout(options.timeout ?? 10_000),
        });
        outgoing.on("response", response => {
            const parts: Uint8Array[] = [];
            response.on("data", (part: Uint8Array) => parts.push(part));
            response.on("end", () => {
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    value: parseJson(Buffer.concat(parts).toString()),
                });
            });
            response.on("error", reject);
        });
        outgoing.on("error", reject);
        outgoing.end(options.body === undefined ? undefined : JSON.stringify(options.body));
    });
