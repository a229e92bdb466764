import type { Platform, PlatformError, TableRow } from "@jayfront/platform";
import type { DocumentMistake, Environment, EnvironmentDocument } from "@jayfront/world";
import { environmentDocument, parseTomlDocument } from "@jayfront/world";
import { Result } from "true-myth";

import { commitOnce, tableKeys } from "../cell/cell-store.js";

/** Why a document was not stored. */
export type EnvironmentRefusal =
    | { readonly kind: "invalid"; readonly mistakes: readonly DocumentMistake[]; }
    | { readonly kind: "conflict"; readonly currentVersion: number; readonly changedFields: readonly string[]; }
    | { readonly kind: "store"; readonly error: PlatformError; };

/** Stores and promotes environment documents in the platform's table. */
export interface EnvironmentStore {
    /** Stores `text` in the environment `name` as the version after `base`. */
    readonly store: (name: string, text: string, base: number) => Promise<Result<Environment, EnvironmentRefusal>>;
    readonly read: (name: string) => Promise<Result<Environment | undefined, PlatformError>>;
    /** Latest versions, newest first. */
    readonly history: (name: string) => Promise<Result<readonly Environment[], PlatformError>>;
    /** Moves the document of `from` to `to`, whose version must still be `base`. */
    readonly promote: (from: string, to: string, base: number) => Promise<Result<Environment, EnvironmentRefusal>>;
}

const historyLength = 20;
const changedFieldLimit = 50;

/** Dotted names of the fields in which `left` and `right` differ. */
export const changedFields = (left: unknown, right: unknown, path = ""): readonly string[] => {
    if (typeof left === "object" && typeof right === "object" && left !== null && right !== null) {
        const keys = [...new Set([...Object.keys(left), ...Object.keys(right)])].sort();
        return keys.flatMap(key =>
            changedFields(
                (left as Record<string, unknown>)[key],
                (right as Record<string, unknown>)[key],
                path === "" ? key : `${path}.${key}`,
            )
        ).slice(0, changedFieldLimit);
    }
    return JSON.stringify(left) === JSON.stringify(right) ? [] : [path === "" ? "document" : path];
};

/** Creates the desk over the platform's table. */
export const createEnvironmentStore = (platform: Platform): EnvironmentStore => {
    const { table } = platform;
    const readRow = (name: string): Promise<Result<TableRow<Environment> | undefined, PlatformError>> =>
        table.get<Environment>(tableKeys.environment(name));
    const readVersion = async (name: string, version: number): Promise<EnvironmentDocument | undefined> => {
        const row = await table.get<Environment>(tableKeys.environmentVersion(name, version));
        return row.isOk ? row.value?.value.document : undefined;
    };
    const conflict = async (
        name: string,
        current: Environment | undefined,
        base: number,
    ): Promise<EnvironmentRefusal> => ({
        kind: "conflict",
        currentVersion: current?.version ?? 0,
        changedFields: changedFields(await readVersion(name, base), current?.document),
    });
    const write = async (
        name: string,
        text: string,
        document: EnvironmentDocument,
        base: number,
    ): Promise<Result<Environment, EnvironmentRefusal>> => {
        const row = await readRow(name);
        if (row.isErr) {
            return Result.err({ kind: "store", error: row.error });
        }
        if ((row.value?.value.version ?? 0) !== base) {
            return Result.err(await conflict(name, row.value?.value, base));
        }
        const environment: Environment = { version: base + 1, document, text };
        const key = tableKeys.environment(name);
        const committed = await commitOnce(table, [{ key, version: row.value?.version ?? 0 }], [
            { key, value: environment },
            { key: tableKeys.environmentVersion(name, base + 1), value: environment },
            { key: tableKeys.environmentVersion(name, base + 1 - historyLength), value: undefined },
        ]);
        if (committed.isOk) {
            return Result.ok(environment);
        }
        if (committed.error.kind !== "conflict") {
            return Result.err({ kind: "store", error: committed.error });
        }
        const winner = await readRow(name);
        return Result.err(await conflict(name, winner.isOk ? winner.value?.value : undefined, base));
    };
    return {
        store: async (name, text, base) => {
            const parsed = parseTomlDocument(text, environmentDocument);
            return parsed.isErr
                ? Result.err({ kind: "invalid", mistakes: parsed.error })
                : write(name, text, parsed.value, base);
        },
        read: async name => (await readRow(name)).map(row => row?.value),
        history: async name =>
            (await table.scan<Environment>(tableKeys.environmentVersions(name)))
                .map(rows => rows.map(row => row.value).reverse()),
        promote: async (from, to, base) => {
            const source = await readRow(from);
            if (source.isErr) {
                return Result.err({ kind: "store", error: source.error });
            }
            if (source.value === undefined) {
                return Result.err({
                    kind: "invalid",
                    mistakes: [{
                        line: undefined,
                        key: "",
                        message:
                            `environment ${from} holds no document; store one with \`jayfront environment trial FILE\``,
                    }],
                });
            }
            const { text, document } = source.value.value;
            return write(to, text, document, base);
        },
    };
};
