import { createHmac, randomUUID } from "node:crypto";

import { areSecretsEqual } from "../util/are-secrets-equal.js";

/** Signs and verifies requests that entry hosts forward to each other over HTTP. */
export interface RequestSignature {
    /** Creates the value of {@link signatureHeader} for a request. */
    readonly sign: (method: string, path: string) => string;
    /** Whether the value is authentic, recent and was not used before; a valid one is remembered as used. */
    readonly verify: (value: string | undefined, method: string, path: string) => boolean;
}

/** Request header with the signature of a forwarded request. */
export const signatureHeader = "x-jayfront-peer";

/** Difference that is accepted between the clocks of two hosts, including the time on the way. */
const clockToleranceMs = 30_000;

/** Creates a signature scheme with the key that all entry hosts share. */
export const createRequestSignature = (peerKey: string): RequestSignature => {
    const usedNonces = new Map<string, number>();
    const computeMac = (method: string, path: string, timestamp: string, nonce: string): string =>
        createHmac("sha256", peerKey).update(`forward ${method} ${path} ${timestamp} ${nonce}`).digest("hex");
    const removeExpiredNonces = (now: number): void => {
        for (const [nonce, usedAt] of usedNonces) {
            if (now - usedAt <= 2 * clockToleranceMs) {
                return;
            }
            usedNonces.delete(nonce);
        }
    };
    return {
        sign: (method, path) => {
            const timestamp = String(Date.now());
            const nonce = randomUUID();
            return `${timestamp}.${nonce}.${computeMac(method, path, timestamp, nonce)}`;
        },
        verify: (value, method, path) => {
            const [timestamp = "", nonce = "", mac = ""] = (value ?? "").split(".");
            const now = Date.now();
            removeExpiredNonces(now);
            const isFresh = Math.abs(now - Number(timestamp)) <= clockToleranceMs;
            if (
                !areSecretsEqual(mac, computeMac(method, path, timestamp, nonce)) || !isFresh || usedNonces.has(nonce)
            ) {
                return false;
            }
            usedNonces.set(nonce, now);
            return true;
        },
    };
};
