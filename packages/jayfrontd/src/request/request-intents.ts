import { randomUUID } from "node:crypto";

import type { Platform, PlatformError, TableRow, TableTransaction } from "@jayfront/platform";
import { commitSettled } from "@jayfront/platform";
import type { HostId } from "@jayfront/world";
import { Result } from "true-myth";

import { commitOnce, tableKeys } from "../cell/cell-store.js";
import type { Metrics } from "../metrics.js";

/** The row that stands before a non-idempotent request may be dispatched. */
export interface RequestIntent {
    /** Differs between two tries with the same key. */
    readonly id: string;
    readonly host: HostId;
    readonly state: "dispatched" | "completed";
    /** Digest of the request, so that one key can't bring one caller another's answer. */
    readonly digest: string;
    /** The answer, where it was short enough to be kept. */
    readonly answer?: RecordedAnswer | undefined;
}

/** An endpoint's answer as kept for repeats of the request. */
export interface RecordedAnswer {
    readonly status: number;
    readonly contentType: string | undefined;
    /** Base64. */
    readonly body: string;
}

/** An intent that this host wrote. */
export interface OwnIntent {
    readonly key: string;
    readonly intent: RequestIntent;
    readonly version: number;
}

/** Keeps non-idempotent requests to at most one run each. */
export interface RequestIntents {
    /** Writes an intent before dispatch; the error is the earlier intent, or the store's. */
    readonly begin: (
        service: string,
        key: string,
        digest: string,
    ) => Promise<Result<OwnIntent, { readonly earlier: RequestIntent; } | PlatformError>>;
    /** Records that the request ran. */
    readonly complete: (own: OwnIntent, answer: RecordedAnswer | undefined) => Promise<void>;
    /** Takes an intent back whose request did not run; true where the key may be used again. */
    readonly withdraw: (own: OwnIntent) => Promise<boolean>;
}

/** Options of {@link createRequestIntents}. */
export interface RequestIntentsOptions {
    readonly platform: Platform;
    readonly host: HostId;
    readonly metrics: Metrics;
    /** Milliseconds over which intents are gathered into one transaction. Default 5. */
    readonly batchWindow?: number;
}

interface Gathered {
    readonly key: string;
    readonly intent: RequestIntent;
    readonly resolve: (result: Result<number, PlatformError>) => void;
}

/** Creates the intents of one host. */
export const createRequestIntents = (
    { platform, host, metrics, batchWindow: gatherTime = 5 }: RequestIntentsOptions,
): RequestIntents => {
    const { table } = platform;
    let gathered: Gathered[] = [];

    /** Intents whose commit got no reply are not acted on; once the store answers they are withdrawn. */
    const takeBack = async (transaction: TableTransaction): Promise<void> => {
        const settled = await commitSettled(table, transaction, { attempts: Infinity });
        if (settled.isOk) {
            const checks = transaction.writes.map((write, position) => ({
                key: write.key,
                version: settled.value[position] ?? 0,
            }));
            await commitOnce(table, checks, checks.map(({ key }) => ({ key, value: undefined })));
        }
    };
    const commit = async (batch: readonly Gathered[]): Promise<void> => {
        metrics.storeWrites.inc({ purpose: "intent" });
        const transaction: TableTransaction = {
            operation: randomUUID(),
            checks: batch.map(entry => ({ key: entry.key, version: 0 })),
            writes: batch.map(entry => ({ key: entry.key, value: entry.intent })),
        };
        const committed = await commitSettled(table, transaction);
        if (committed.isErr && committed.error.kind === "conflict" && batch.length > 1) {
            // One key that stands already must not turn the others away.
            await Promise.all(batch.map(entry => commit([entry])));
            return;
        }
        if (committed.isErr && committed.error.kind === "unknown") {
            void takeBack(transaction);
        }
        batch.forEach((entry, position) => {
            entry.resolve(committed.map(versions => versions[position] ?? 0));
        });
    };
    const commitGathered = (): void => {
        const byKey = new Map(gathered.map(entry => [entry.key, entry]));
        const repeats = gathered.filter(entry => byKey.get(entry.key) !== entry);
        gathered = [];
        void commit([...byKey.values()]);
        repeats.forEach(entry => void commit([entry]));
    };
    const insert = (key: string, intent: RequestIntent): Promise<Result<number, PlatformError>> =>
        new Promise(resolve => {
            if (gathered.length === 0) {
                setTimeout(commitGathered, gatherTime);
            }
            gathered.push({ key, intent, resolve });
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
        complete: async (own, answer) => {
            metrics.storeWrites.inc({ purpose: "intent" });
            await commitOnce(table, [{ key: own.key, version: own.version }], [
                { key: own.key, value: { ...own.intent, state: "completed", answer } },
            ]);
        },
        withdraw: async own => {
            metrics.storeWrites.inc({ purpose: "intent" });
            const committed = await commitOnce(table, [{ key: own.key, version: own.version }], [
                { key: own.key, value: undefined },
            ]);
            return committed.isOk;
        },
    };
};
