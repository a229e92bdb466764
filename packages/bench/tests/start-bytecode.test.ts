import { execFile } from "node:child_process";
import { cp, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";

import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";

import { repositoryRoot } from "../src/util/repository-root.js";

const run = promisify(execFile);
/** Whether the runtime accepts the bytecode for the bundle. */
const checkBytecode = `
    const { readFileSync } = require("node:fs");
    const { wrap } = require("node:module");
    const { Script } = require("node:vm");
    const script = new Script(wrap(readFileSync("bundle.cjs", "utf8")), {
        cachedData: readFileSync("bundle.bytecode"),
    });
    process.stdout.write(String(!script.cachedDataRejected));`;

describe("the build for the platform", () => {
    let folder: string;
    let options: readonly string[];
    beforeAll(async () => {
        folder = await mkdtemp(join(tmpdir(), "jayfront-build-"));
        const settings = await readFile(join(repositoryRoot, "deploy/system.toml"), "utf8");
        options = /run = "node (.*) target/.exec(settings)?.[1]?.split(" ") ?? [];
        await run(process.execPath, ["deploy/build.js"], { cwd: repositoryRoot });
        await cp(join(repositoryRoot, "target"), folder, { recursive: true });
    });
    afterAll(async () => {
        await rm(folder, { recursive: true });
    });

    // Guards against starts of small hosts that take 2.4 s, a third of it for compilation (issue 64).
    it("compiles the bundle for the options with which a host starts", async () => {
        const { stdout } = await run(process.execPath, [...options, "--eval", checkBytecode], { cwd: folder });
        expect(stdout).toBe("true");
    });

    // Guards against a host that does not start on another version of the runtime.
    it.each(["absent", "of another runtime"])("starts a host if the bytecode is %s", async state => {
        const bytecodePath = join(folder, "bundle.bytecode");
        await (state === "absent" ? rm(bytecodePath) : writeFile(bytecodePath, "another runtime"));
        const path = join(folder, "boot.toml");
        await writeFile(path, "nodeName = 1");
        const started = run(process.execPath, [...options, "jayfrontd.cjs", "9464"], {
            cwd: folder,
            env: { ...process.env, JAYFRONT_BOOT: path },
        });
        await expect(started).rejects.toMatchObject({ code: 2, stderr: expect.stringContaining("nodeName") });
    });
});
