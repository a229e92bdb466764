import type { PlatformError, TableRow, TableTransaction } from "@jayfront/platform";
import { platformErrors } from "@jayfront/platform";
import { Result } from "true-myth";

/** An in-memory table service. */
export interface TableService {
    readonly get: (key: string) => TableRow | undefined;
    readonly scan: (prefix: string) => readonly TableRow[];
    readonly commit: (transaction: TableTransaction) => Result<readonly number[], PlatformError>;
    /** Numbers of transactions, written rows and reads, for tests that limit them. */
    readonly counts: { transactions: number; rowsWritten: number; reads: number; };
}

/** Creates an empty table service. */
export const createTableService = (): TableService => {
    const rows = new Map<string, TableRow>();
    const outcomes = new Map<string, Result<readonly number[], PlatformError>>();
    const counts = { transactions: 0, rowsWritten: 0, reads: 0 };
    let version = 0;
    const apply = (transaction: TableTransaction): Result<readonly number[], PlatformError> => {
        const hasPassedChecks = transaction.checks.every(check =>
            (rows.get(check.key)?.version ?? 0) === check.version
        );
        if (!hasPassedChecks) {
            return Result.err(platformErrors.conflict("/table/commit"));
        }
        return Result.ok(transaction.writes.map(({ key, value }) => {
            version += 1;
            counts.rowsWritten += 1;
            if (value === undefined) {
                rows.delete(key);
            }
            else {
                rows.set(key, { key, version, value });
            }
            return version;
        }));
    };
    return {
        counts,
        get: key => {
            counts.reads += 1;
            return rows.get(key);
        },
        scan: prefix => {
            counts.reads += 1;
            return [...rows.values()]
                .filter(row => row.key.startsWith(prefix))
                .sort((left, right) => left.key < right.key ? -1 : 1);
        },
        commit: transaction => {
            counts.transactions += 1;
            const earlier = outcomes.get(transaction.operation);
            const outcome = earlier ?? apply(transaction);
            outcomes.set(transaction.operation, outcome);
            return outcome;
        },
    };
};
