import { sleep } from "@jayfront/world";
import type { Result } from "true-myth";

import type { PlatformError } from "../platform-error.js";
import type { Table, TableTransaction } from "../table.js";

/** How {@link commitWithRetry} repeats a commit whose outcome is unknown. */
export interface CommitRetryOptions {
    /** Maximum number of commits, the first one included. Default 4. */
    readonly attempts?: number;
    /** Milliseconds before the first retry; doubled for each further one up to 10 s. Default 200. */
    readonly delay?: number;
    /** Aborts the retries. */
    readonly signal?: AbortSignal;
}

/** Longest delay between two commits in milliseconds. */
const maxDelay = 10_000;

/**
 * Commits `transaction` and, while the outcome is unknown, repeats the commit with the same operation id.
 * Still returns `unknown` if no attempt determines the outcome.
 */
export const commitWithRetry = async (
    table: Table,
    transaction: TableTransaction,
    { attempts = 4, delay = 200, signal }: CommitRetryOptions = {},
): Promise<Result<readonly number[], PlatformError>> => {
    let result = await table.commit(transaction);
    const wasUnknown = result.isErr && result.error.kind === "unknown";
    for (let attempt = 1; attempt < attempts && wasUnknown && shouldRetry(result); attempt += 1) {
        await sleep(Math.min(maxDelay, delay * 2 ** (attempt - 1)), signal);
        if (signal?.aborted === true) {
            break;
        }
        result = await table.commit(transaction);
    }
    // That the store is unavailable now does not tell whether an earlier attempt without a response took effect.
    return wasUnknown && result.isErr && result.error.kind === "unavailable"
        ? result.mapErr(error => ({ ...error, kind: "unknown" as const }))
        : result;
};

const shouldRetry = (result: Result<readonly number[], PlatformError>): boolean =>
    result.isErr && (result.error.kind === "unknown" || result.error.kind === "unavailable");
