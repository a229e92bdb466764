import { readFile } from "node:fs/promises";

import { Result } from "true-myth";

/** Reads a text file. The error is a message that names the remedy. */
export const readTextFile = async (file: string | undefined): Promise<Result<string, string>> => {
    if (file === undefined) {
        return Result.err("no file given; name one after the command");
    }
    try {
        return Result.ok(await readFile(file, "utf8"));
    }
    catch (error) {
        return Result.err(`${file}: can't be read (${error instanceof Error ? error.message : String(error)})`);
    }
};
