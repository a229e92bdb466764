import { readFile } from "node:fs/promises";
import { join } from "node:path";

import { repositoryRoot } from "./repository-root.js";

/** Names that KNOWN-RED.txt records as `red: <name>`; none where the file is missing. */
export const readKnownRed = async (): Promise<ReadonlySet<string>> => {
    const text = await readFile(join(repositoryRoot, "KNOWN-RED.txt"), "utf8").catch(() => "");
    const names = text.split("\n").flatMap(line => /^red: (.+?)(?: \||$)/.exec(line)?.[1] ?? []);
    return new Set(names);
};
