import { readFile } from "node:fs/promises";
import { join } from "node:path";

import { describe, expect, it } from "@jest/globals";

import { renderReference } from "../src/util/render-reference.js";
import { repositoryRoot } from "../src/util/repository-root.js";

describe("the reference page", () => {
    it("matches the schemas, metrics and problems; `npm run reference` regenerates it", async () => {
        expect(await readFile(join(repositoryRoot, "docs/REFERENCE.md"), "utf8")).toBe(await renderReference());
    });
});
