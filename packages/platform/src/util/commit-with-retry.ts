import { sleep } from "@jayfront/world";
import type { Result } from "true-myth";

import type { PlatformError } from "../platform-error.js";
import type { Table, TableTransaction } from "../table.js";

/** How {@link commitWithRetry} repeats a commit whose outcome is unknown. */
export interface CommitRetryOptions {
    /** Commits in all. Default 4. */
    readonly attempts?: number;
    /** Milliseconds before the first repeat; doubled for each further one up to 10 s. Default 200. */
    readonly delay?: number;
    /** Ends the repeats. */
    readonly signal?: AbortSignal;
}

const delayLimit = 10_000;

/**
 * Commits `transaction` and settles an unknown outcome by repeating it under the same operation id.
 * Still answers `unknown` when all attempts brought no reply.
 */
export const commitWithRetry = async (
    table: Table,
    transaction: TableTransaction,
    { attempts = 4, delay = 200, signal }: CommitRetryOptions = {},
): Promise<Result<readonly number[], PlatformError>> => {
    let result = await table.commit(transaction);
    const sawUnknown = result.isErr && result.error.kind === "unknown";
    for (let attempt = 1; attempt < attempts && sawUnknown && isUnsettled(result); attempt += 1) {
        await sleep(Math.min(delayLimit, delay * 2 ** (attempt - 1)), signal);
        if (signal?.aborted === true) {
            break;
        }
        result = await table.commit(transaction);
    }
    // An unavailable store says nothing about an earlier try that got no reply.
    return sawUnknown && result.isErr && result.error.kind === "unavailable"
        ? result.mapErr(error => ({ ...error, kind: "unknown" as const }))
        : result;
};

const isUnsettled = (result: Result<readonly number[], PlatformError>): boolean =>
    result.isErr && (result.error.kind === "unknown" || result.error.kind === "unavailable");
