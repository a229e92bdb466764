import { readFile } from "node:fs/promises";
import { join } from "node:path";

import { repositoryRoot } from "./repository-root.js";

/** Reads the names that KNOWN-RED.txt lists as `red: <name>`; returns none if the file is missing. */
export const readKnownRed = async (): Promise<ReadonlySet<string>> => {
    const text = await readFile(join(repositoryRoot, "KNOWN-RED.txt"), "utf8").catch(() => "");
    const names = text.split("\n").flatMap(line => /^red: (.+?)(?: \||$)/.exec(line)?.[1] ?? []);
    return new Set(names);
};
