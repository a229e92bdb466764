import { readFile } from "node:fs/promises";
import { join } from "node:path";

import { describe, expect, it } from "@jest/globals";

import { readKnownRed } from "../src/util/read-known-red.js";
import { repositoryRoot } from "../src/util/repository-root.js";

describe("KNOWN-RED.txt", () => {
    // Guards against an entry that stays listed although no test of that name is run any more.
    it("lists only tests of files that check their entries", async () => {
        const files = [...await readKnownRed()].flatMap(name => /^(?:unsteady )?test (\S+) /.exec(name)?.[1] ?? []);
        const checked = await Promise.all(
            files.map(async file =>
                (await readFile(join(repositoryRoot, file), "utf8").catch(() => "")).includes("checkEntries();")
            ),
        );
        expect(files.filter((...[, index]) => checked[index] !== true)).toEqual([]);
    });
});
