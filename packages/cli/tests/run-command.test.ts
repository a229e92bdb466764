import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { Result } from "true-myth";

import type { ApiClient, ApiError } from "../src/api-client.js";
import type { CommandFlags } from "../src/command-context.js";
import { runCommand } from "../src/run-command.js";

const flags: CommandFlags = {
    json: false,
    environment: "production",
    base: undefined,
    key: undefined,
    as: undefined,
    index: undefined,
    once: true,
};
const conflict: ApiError = {
    kind: "refused",
    status: 409,
    message: "Another operator changed the document first: version 4 stands now; changed: limits.retryShare",
    problem: { type: "urn:jayfront:conflict" },
};
const unreachable: ApiError = { kind: "unreachable", status: 0, message: "no answer", problem: {} };

/** Runs a command against a client that answers each method and path from `answers`; others are unreachable. */
const run = async (
    positionals: readonly string[],
    answers: Record<string, unknown> = {},
    flagChanges: Partial<CommandFlags> = {},
): Promise<{ code: number; out: readonly string[]; err: readonly string[]; }> => {
    const out: string[] = [];
    const err: string[] = [];
    const client: ApiClient = {
        call: async (method, path) => {
            const answer = answers[`${method} ${path}`] ?? unreachable;
            return (answer === conflict || answer === unreachable ? Result.err(answer) : Result.ok(answer)) as never;
        },
    };
    const code = await runCommand(positionals, {
        client,
        flags: { ...flags, ...flagChanges },
        print: line => out.push(line),
        printError: line => err.push(line),
        isTerminal: false,
    });
    return { code, out, err };
};

describe("jayfront", () => {
    let folder = "";
    beforeAll(async () => {
        folder = await mkdtemp(join(tmpdir(), "jayfront-cli-"));
    });
    afterAll(async () => {
        await rm(folder, { recursive: true });
    });

    it.each([
        ["an unknown subject", ["jib"]],
        ["an unknown verb", ["job", "eat"]],
        ["a missing file", ["environment", "check"]],
        ["a missing job", ["job", "status"]],
        ["resolve without its options", ["job", "resolve", "j"]],
        ["a name that every object has", ["constructor", "x"]],
    ])("explains %s and exits with 2", async (...[, positionals]) => {
        const { code, err } = await run(positionals);
        expect([code, err]).toMatchSnapshot();
    });

    it("names file, line and key of a mistake", async () => {
        const file = join(folder, "bad.toml");
        await writeFile(file, "[teams.quick]\nwieght = 2\n");
        const { code, err } = await run(["environment", "check", file]);
        expect(code).toBe(2);
        expect(err.map(line => line.replace(folder, ""))).toMatchSnapshot();
    });

    it("exits with 4 and the changed fields when another operator changed the document first", async () => {
        const { code, err } = await run(["environment", "promote"], {
            "GET /operator/environments/production": { version: 3 },
            "POST /operator/environments/production/promote": conflict,
        });
        expect(code).toBe(4);
        expect(err[0]).toContain("limits.retryShare");
    });

    it("exits with 3 when no host answers", async () => {
        expect((await run(["host", "list"])).code).toBe(3);
    });

    it("watches a job until it settles and exits with 1 where tasks failed, else with 0", async () => {
        const job = {
            id: "j",
            state: "settled",
            team: "bulk",
            tasks: 4,
            finished: 3,
            failed: 1,
            cancelled: 0,
            inDoubt: [],
        };
        const failed = await run(["job", "watch", "j"], { "GET /jobs/j": job });
        expect(failed).toMatchSnapshot();
        const succeeded = await run(["job", "watch", "j"], { "GET /jobs/j": { ...job, finished: 4, failed: 0 } });
        expect(succeeded.code).toBe(0);
    });

    it("prints one JSON value per line with --json", async () => {
        const hosts = { hosts: [], silent: ["east-a-2"] };
        const { out } = await run(["host", "list"], { "GET /operator/hosts": hosts }, { json: true });
        expect(out.map(line => JSON.parse(line) as unknown)).toEqual([hosts]);
    });
});
