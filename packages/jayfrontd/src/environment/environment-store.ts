import type { Platform, PlatformError, TableRow } from "@jayfront/platform";
import type { DocumentMistake, Environment, EnvironmentDocument } from "@jayfront/world";
import { environmentDocument, parseTomlDocument } from "@jayfront/world";
import { Result } from "true-myth";

import { commitOnce, tableKeys } from "../cell/cell-store.js";

/** Why a document was not stored: it has mistakes, its base is not the current version, or the table failed. */
export type EnvironmentRefusal =
    | { readonly kind: "invalid"; readonly mistakes: readonly DocumentMistake[]; }
    | { readonly kind: "conflict"; readonly currentVersion: number; readonly changedFields: readonly string[]; }
    | { readonly kind: "store"; readonly error: PlatformError; };

/** Stores and promotes environment documents in the platform's table. */
export interface EnvironmentStore {
    /** Stores `text` in the environment `name` as version `base + 1`; the current version must be `base`, 0 if none. */
    readonly store: (name: string, text: string, base: number) => Promise<Result<Environment, EnvironmentRefusal>>;
    /** The current version; undefined if none is stored. */
    readonly read: (name: string) => Promise<Result<Environment | undefined, PlatformError>>;
    /** The versions that are kept, newest first. */
    readonly history: (name: string) => Promise<Result<readonly Environment[], PlatformError>>;
    /** Copies the document of environment `from` to `to` as version `base + 1`; `to` must be at version `base`. */
    readonly promote: (from: string, to: string, base: number) => Promise<Result<Environment, EnvironmentRefusal>>;
}

/** Versions of an environment that are kept. */
const keptVersions = 20;
const maxChangedFields = 50;

/** Dotted paths of the fields in which `left` and `right` differ, at most 50; `document` if all of it differs. */
export const changedFields = (left: unknown, right: unknown, path = ""): readonly string[] => {
    if (typeof left === "object" && typeof right === "object" && left !== null && right !== null) {
        const keys = [...new Set([...Object.keys(left), ...Object.keys(right)])].sort();
        return keys.flatMap(key =>
            changedFields(
                (left as Record<string, unknown>)[key],
                (right as Record<string, unknown>)[key],
                path === "" ? key : `${path}.${key}`,
            )
        ).slice(0, maxChangedFields);
    }
    return JSON.stringify(left) === JSON.stringify(right) ? [] : [path === "" ? "document" : path];
};

/** Creates a store over the platform's table. */
export const createEnvironmentStore = (platform: Platform): EnvironmentStore => {
    const { table } = platform;
    const readRow = (name: string): Promise<Result<TableRow<Environment> | undefined, PlatformError>> =>
        table.get<Environment>(tableKeys.environment(name));
    const readVersion = async (name: string, version: number): Promise<EnvironmentDocument | undefined> => {
        const row = await table.get<Environment>(tableKeys.environmentVersion(name, version));
        return row.isOk ? row.value?.value.document : undefined;
    };
    const describeConflict = async (
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
            return Result.err(await describeConflict(name, row.value?.value, base));
        }
        const environment: Environment = { version: base + 1, document, text };
        const key = tableKeys.environment(name);
        const committed = await commitOnce(table, [{ key, version: row.value?.version ?? 0 }], [
            { key, value: environment },
            { key: tableKeys.environmentVersion(name, base + 1), value: environment },
            { key: tableKeys.environmentVersion(name, base + 1 - keptVersions), value: undefined },
        ]);
        if (committed.isOk) {
            return Result.ok(environment);
        }
        if (committed.error.kind !== "conflict") {
            return Result.err({ kind: "store", error: committed.error });
        }
        const latest = await readRow(name);
        return Result.err(await describeConflict(name, latest.isOk ? latest.value?.value : undefined, base));
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
