import { describe, expect, it } from "@jest/globals";
import { Result } from "true-myth";

import type { PlatformError } from "../src/platform-error.js";
import type { Table } from "../src/table.js";
import { commitWithRetry } from "../src/util/commit-with-retry.js";
import { platformErrors } from "../src/util/platform-errors.js";

type Answer = Result<readonly number[], PlatformError>;

const unknown: Answer = Result.err(platformErrors.unknown("/table/commit"));
const unavailable: Answer = Result.err(platformErrors.unavailable("/table/commit"));
const conflict: Answer = Result.err(platformErrors.conflict("/table/commit"));
const done: Answer = Result.ok([3]);

const runCommit = async (answers: readonly Answer[]): Promise<{ result: string; operations: readonly string[]; }> => {
    const operations: string[] = [];
    const table = {
        commit: async ({ operation }: { operation: string; }) => {
            operations.push(operation);
            return answers[operations.length - 1] ?? unknown;
        },
    } as unknown as Table;
    const result = await commitWithRetry(table, { operation: "op", checks: [], writes: [] }, { delay: 1 });
    return { result: result.match({ Ok: () => "ok", Err: error => error.kind }), operations };
};

describe("commitWithRetry", () => {
    it("repeats a commit of unknown outcome with the same operation id", async () => {
        expect(await runCommit([unknown, unknown, done])).toEqual({ result: "ok", operations: ["op", "op", "op"] });
    });

    it("does not repeat a commit that met a conflict or an unavailable store", async () => {
        expect((await runCommit([conflict])).operations).toHaveLength(1);
        expect(await runCommit([unavailable])).toEqual({ result: "unavailable", operations: ["op"] });
    });

    it("returns an unknown outcome if the store becomes unavailable after a lost response", async () => {
        expect((await runCommit([unknown, unavailable, unavailable, unavailable])).result).toBe("unknown");
    });

    it("returns the conflict that a retry meets after a lost response", async () => {
        expect((await runCommit([unknown, conflict])).result).toBe("conflict");
    });
});
