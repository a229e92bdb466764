import { createHmac, randomUUID } from "node:crypto";

import { areSecretsEqual } from "../util/are-secrets-equal.js";

/** Signs and checks requests that entry hosts forward to each other over HTTP. */
export interface RequestSignature {
    /** Value of {@link signatureHeader} for a request. */
    readonly sign: (method: string, path: string) => string;
    /** Whether the value is authentic, fresh and was not seen before. */
    readonly verify: (value: string | undefined, method: string, path: string) => boolean;
}

/** Header that carries the signature of a forwarded request. */
export const signatureHeader = "x-jayfront-peer";

/** Milliseconds by which the clocks of two hosts may differ. */
const clockTolerance = 30_000;

/** Creates the signature by the key that all entry hosts share. */
export const createRequestSignature = (peerKey: string): RequestSignature => {
    const seen = new Map<string, number>();
    const code = (method: string, path: string, at: string, nonce: string): string =>
        createHmac("sha256", peerKey).update(`forward ${method} ${path} ${at} ${nonce}`).digest("hex");
    const forgetOld = (now: number): void => {
        for (const [nonce, at] of seen) {
            if (now - at <= 2 * clockTolerance) {
                return;
            }
            seen.delete(nonce);
        }
    };
    return {
        sign: (method, path) => {
            const at = String(Date.now());
            const nonce = randomUUID();
            return `${at}.${nonce}.${code(method, path, at, nonce)}`;
        },
        verify: (value, method, path) => {
            const [at = "", nonce = "", mac = ""] = (value ?? "").split(".");
            const now = Date.now();
            forgetOld(now);
            const isFresh = Math.abs(now - Number(at)) <= clockTolerance;
            if (!areSecretsEqual(mac, code(method, path, at, nonce)) || !isFresh || seen.has(nonce)) {
                return false;
            }
            seen.set(nonce, now);
            return true;
        },
    };
};
