import { execFile } from "node:child_process";
import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { promisify } from "node:util";

import { describe, expect, it } from "@jest/globals";

import { repositoryRoot } from "../src/util/repository-root.js";

/** Functions that run 300 times each, less than a millisecond in all, as most of a process do in its first minute. */
const workload = `
    const rows = Array.from({ length: 40 }, (_, index) => index);
    for (let number = 0; number < 100; number += 1) {
        const count = new Function("rows", "let sum = " + number + "; for (const row of rows) { sum += row; } return sum;");
        for (let call = 0; call < 300; call += 1) {
            count(rows);
        }
    }`;
const run = promisify(execFile);

/** Number of functions that the runtime chooses for optimization, which happens in the calling thread, in the workload. */
const countOptimized = async (flags: readonly string[]): Promise<number> => {
    const { stdout } = await run(process.execPath, [...flags, "--trace-opt", "--eval", workload]);
    return stdout.split("\n").filter(line => line.startsWith("[marking")).length;
};

describe("the command that starts a host", () => {
    // Guards against hosts of a tenth of a core that spend a fifth of their processor time on compilation (issue 47).
    it("does not optimize functions that take little time in all", async () => {
        const settings = await readFile(join(repositoryRoot, "deploy/system.toml"), "utf8");
        const flags = /run = "node (.*) target/.exec(settings)?.[1]?.split(" ") ?? [];
        expect(flags).not.toEqual([]);
        expect(await countOptimized([])).toBeGreaterThan(90);
        expect(await countOptimized(flags)).toBeLessThan(10);
    });
});
