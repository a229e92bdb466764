import { randomUUID } from "node:crypto";

import type { Platform, PlatformError, TableRow, TableTransaction } from "@jayfront/platform";
import { commitWithRetry } from "@jayfront/platform";
import type { HostId } from "@jayfront/world";
import { Result } from "true-myth";

import { commitOnce, tableKeys } from "../cell/cell-store.js";
import type { Metrics } from "../metrics.js";

/** Row that must be stored before a non-idempotent request may be dispatched. */
export interface RequestIntent {
    /** Random id; differs between two requests with the same key. */
    readonly id: string;
    readonly host: HostId;
    readonly state: "dispatched" | "completed";
    /** Digest of the request, so that a caller that reuses a key does not get the answer to another request. */
    readonly digest: string;
    /** The answer, if it was short enough to be stored. */
    readonly answer?: RecordedAnswer | undefined;
}

/** An endpoint's answer as stored for repeats of the request. */
export interface RecordedAnswer {
    readonly status: number;
    readonly contentType: string | undefined;
    /** Base64. */
    readonly body: string;
}

/** An intent that this host stored, with the key and version of its row. */
export interface OwnIntent {
    readonly key: string;
    readonly intent: RequestIntent;
    readonly version: number;
}

/** Stores intents, so that each non-idempotent request runs at most once. */
export interface RequestIntents {
    /** Stores an intent before dispatch; the error is the earlier intent under the same key, or the store's error. */
    readonly begin: (
        service: string,
        key: string,
        digest: string,
    ) => Promise<Result<OwnIntent, { readonly earlier: RequestIntent; } | PlatformError>>;
    /** Records that the request ran. */
    readonly complete: (ownIntent: OwnIntent, answer: RecordedAnswer | undefined) => Promise<void>;
    /** Deletes the intent of a request that did not run; true if the key can be used again. */
    readonly withdraw: (ownIntent: OwnIntent) => Promise<boolean>;
}

/** Options of {@link createRequestIntents}. */
export interface RequestIntentsOptions {
    readonly platform: Platform;
    readonly host: HostId;
    readonly metrics: Metrics;
    /** Milliseconds for which intents are collected into one transaction. Default 5. */
    readonly batchWindow?: number;
}

interface PendingIntent {
    readonly key: string;
    readonly intent: RequestIntent;
    readonly resolve: (result: Result<number, PlatformError>) => void;
}

/** Creates the intents of one host; intents that begin within one batch window share a transaction. */
export const createRequestIntents = (
    { platform, host, metrics, batchWindow = 5 }: RequestIntentsOptions,
): RequestIntents => {
    const { table } = platform;
    let pending: PendingIntent[] = [];

    /** Deletes intents whose commit got no reply, once the store replies again; their requests were not run. */
    const withdrawUnsettled = async (transaction: TableTransaction): Promise<void> => {
        const settled = await commitWithRetry(table, transaction, { attempts: Infinity });
        if (settled.isOk) {
            const checks = transaction.writes.map((write, position) => ({
                key: write.key,
                version: settled.value[position] ?? 0,
            }));
            await commitOnce(table, checks, checks.map(({ key }) => ({ key, value: undefined })));
        }
    };
    const commit = async (batch: readonly PendingIntent[]): Promise<void> => {
        metrics.storeWrites.inc({ purpose: "intent" });
        const transaction: TableTransaction = {
            operation: randomUUID(),
            checks: batch.map(entry => ({ key: entry.key, version: 0 })),
            writes: batch.map(entry => ({ key: entry.key, value: entry.intent })),
        };
        const committed = await commitWithRetry(table, transaction);
        if (committed.isErr && committed.error.kind === "conflict" && batch.length > 1) {
            // A conflict on one key must not fail the intents under the other keys.
            await Promise.all(batch.map(entry => commit([entry])));
            return;
        }
        if (committed.isErr && committed.error.kind === "unknown") {
            void withdrawUnsettled(transaction);
        }
        batch.forEach((entry, position) => {
            entry.resolve(committed.map(versions => versions[position] ?? 0));
        });
    };
    const commitPending = (): void => {
        const byKey = new Map(pending.map(entry => [entry.key, entry]));
        const duplicates = pending.filter(entry => byKey.get(entry.key) !== entry);
        pending = [];
        void commit([...byKey.values()]);
        duplicates.forEach(entry => void commit([entry]));
    };
    const insert = (key: string, intent: RequestIntent): Promise<Result<number, PlatformError>> =>
        new Promise(resolve => {
            if (pending.length === 0) {
                setTimeout(commitPending, batchWindow);
            }
            pending.push({ key, intent, resolve });
        });
    const readEarlier = async (key: string): Promise<Result<TableRow<RequestIntent> | undefined, PlatformError>> =>
        table.get<RequestIntent>(key);

    return {
        begin: async (service, requestKey, digest) => {
            const key = tableKeys.request(service, requestKey);
            const intent: RequestIntent = { id: randomUUID(), host, state: "dispatched", digest };
            const inserted = await insert(key, intent);
            if (inserted.isOk) {
                return Result.ok({ key, intent, version: inserted.value });
            }
            if (inserted.error.kind !== "conflict") {
                return Result.err(inserted.error);
            }
            const earlier = await readEarlier(key);
            if (earlier.isErr) {
                return Result.err(earlier.error);
            }
            return earlier.value === undefined
                ? Result.err({ kind: "unavailable", message: "the earlier intent was withdrawn meanwhile; ask again" })
                : Result.err({ earlier: earlier.value.value });
        },
        complete: async (ownIntent, answer) => {
            metrics.storeWrites.inc({ purpose: "intent" });
            await commitOnce(table, [{ key: ownIntent.key, version: ownIntent.version }], [
                { key: ownIntent.key, value: { ...ownIntent.intent, state: "completed", answer } },
            ]);
        },
        withdraw: async ownIntent => {
            metrics.storeWrites.inc({ purpose: "intent" });
            const committed = await commitOnce(table, [{ key: ownIntent.key, version: ownIntent.version }], [
                { key: ownIntent.key, value: undefined },
            ]);
            return committed.isOk;
        },
    };
};
