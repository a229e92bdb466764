import { request } from "node:http";
import { request as requestTls } from "node:https";

import { Result } from "true-myth";

/** Why a call to an entry host failed. */
export interface ApiError {
    /** `refused`: the host answered with a problem; `unreachable`: it did not answer. */
    readonly kind: "refused" | "unreachable";
    /** HTTP status; 0 where the host did not answer. */
    readonly status: number;
    /** What happened and what to do about it. */
    readonly message: string;
    /** The problem details (RFC 9457) as the host sent them; empty where there are none. */
    readonly problem: Readonly<Record<string, unknown>>;
}

/** Client of the HTTP interface of an entry host. */
export interface ApiClient {
    /** Sends a request with `body` as JSON; returns the parsed body of the response. */
    readonly call: <Answer>(method: string, path: string, body?: unknown) => Promise<Result<Answer, ApiError>>;
}

/** Options of {@link createApiClient}. */
export interface ApiClientOptions {
    /** `http://IP:port` or `https://IP:port` of any entry host. */
    readonly url: string;
    /** Operator token. */
    readonly token: string | undefined;
    /** Milliseconds after which a call fails. Default 10,000. */
    readonly timeout?: number;
}

const parseBody = (text: string): unknown => {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return text;
    }
};
const toRefusal = (status: number, body: unknown): ApiError => {
    const problem = typeof body === "object" && body !== null ? body as Record<string, unknown> : {};
    const title = typeof problem["title"] === "string" ? problem["title"] : `the host answered ${String(status)}`;
    const detail = typeof problem["detail"] === "string" ? `: ${problem["detail"]}` : "";
    return { kind: "refused", status, message: `${title}${detail}`, problem };
};

/** Creates a client of the entry host at `url`. */
export const createApiClient = ({ url, token, timeout = 10_000 }: ApiClientOptions): ApiClient => ({
    call: <Answer>(method: string, path: string, body?: unknown): Promise<Result<Answer, ApiError>> =>
        new Promise(resolve => {
            const openRequest = url.startsWith("https:") ? requestTls : request;
            const outgoing = openRequest(new URL(path, url), {
                method,
                headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
                signal: AbortSignal.timeout(timeout),
            });
            const fail = (error: Error): void => {
                resolve(Result.err({
                    kind: "unreachable",
                    status: 0,
                    message: `${url} did not answer (${error.message}); choose another entry host with --host`,
                    problem: {},
                }));
            };
            outgoing.on("error", fail);
            outgoing.on("response", response => {
                const chunks: Uint8Array[] = [];
                response.on("data", (chunk: Uint8Array) => chunks.push(chunk));
                response.on("error", fail);
                response.on("end", () => {
                    const status = response.statusCode ?? 0;
                    const answer = parseBody(Buffer.concat(chunks).toString());
                    resolve(status < 300 ? Result.ok(answer as Answer) : Result.err(toRefusal(status, answer)));
                });
            });
            outgoing.end(body === undefined ? undefined : JSON.stringify(body));
        }),
});
