import { randomUUID } from "node:crypto";

import type { CommitRetryOptions, PlatformError, Table, TableCheck, TableRow, TableWrite } from "@jayfront/platform";
import { commitWithRetry } from "@jayfront/platform";
import type { CellId, CellRow, Chunk, JobId } from "@jayfront/world";
import type { Result } from "true-myth";

/** A command of a caller or operator to the holder of a cell; its row is deleted once it has been applied. */
export type CellOrder =
    | { readonly kind: "cancel"; readonly job: JobId; }
    | {
        readonly kind: "resolve";
        readonly job: JobId;
        readonly index: number;
        readonly as: "finished" | "failed" | "run-again";
    };

/** Builds the keys of table rows, and the key prefixes of scans. */
export const tableKeys = {
    cell: (cell: CellId): string => `cell/${cell}`,
    chunksOfCell: (cell: CellId): string => `chunk/${cell}/`,
    chunk: (cell: CellId, job: JobId, number: number): string => `chunk/${cell}/${job}/${String(number)}`,
    outcomesOfJob: (job: JobId): string => `outcome/${job}/`,
    outcome: (job: JobId, number: number): string => `outcome/${job}/${String(number)}`,
    ordersOfCell: (cell: CellId): string => `order/${cell}/`,
    order: (cell: CellId, id: string): string => `order/${cell}/${id}`,
    job: (job: JobId): string => `job/${job}`,
    jobKey: (team: string, key: string): string => `job-key/${team}/${key}`,
    request: (service: string, key: string): string => `request/${service}/${key}`,
    environment: (name: string): string => `environment/${name}`,
    environmentVersion: (name: string, version: number): string =>
        `environment-version/${name}/${String(version).padStart(9, "0")}`,
    environmentVersions: (name: string): string => `environment-version/${name}/`,
} as const;

/** A cell row and its table version, which the next write of the row must check. */
export interface VersionedCellRow {
    readonly row: CellRow;
    readonly version: number;
}

/**
 * Commits a transaction under a new operation id. While its outcome is unknown, it is repeated under the same id; the
 * error is `unknown` if no attempt brings a reply.
 */
export const commitOnce = (
    table: Table,
    checks: readonly TableCheck[],
    writes: readonly TableWrite[],
    options: CommitRetryOptions = {},
): Promise<Result<readonly number[], PlatformError>> =>
    commitWithRetry(table, { operation: randomUUID(), checks, writes }, options);

/** Reads the row of `cell`; undefined if no host has taken the cell yet. */
export const readCellRow = async (
    table: Table,
    cell: CellId,
): Promise<Result<VersionedCellRow | undefined, PlatformError>> =>
    (await table.get<CellRow>(tableKeys.cell(cell)))
        .map(row => row === undefined ? undefined : { row: row.value, version: row.version });

/** Writes the row of `cell` if its table version is still `version`, where 0 stands for an absent row. */
export const writeCellRow = async (
    table: Table,
    cell: CellId,
    row: CellRow,
    version: number,
): Promise<Result<VersionedCellRow, PlatformError>> => {
    const key = tableKeys.cell(cell);
    const committed = await commitOnce(table, [{ key, version }], [{ key, value: row }]);
    return committed.map(([next]) => ({ row, version: next ?? 0 }));
};

/** Reads the chunks of `cell` that have tasks without an outcome. */
export const readChunks = (
    table: Table,
    cell: CellId,
): Promise<Result<readonly TableRow<Chunk>[], PlatformError>> => table.scan<Chunk>(tableKeys.chunksOfCell(cell));

/** Reads the orders that the holder of `cell` has not deleted yet. */
export const readOrders = (
    table: Table,
    cell: CellId,
): Promise<Result<readonly TableRow<CellOrder>[], PlatformError>> =>
    table.scan<CellOrder>(tableKeys.ordersOfCell(cell));
