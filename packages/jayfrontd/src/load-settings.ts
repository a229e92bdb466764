import { readFile } from "node:fs/promises";

import { parseTomlDocument } from "@jayfront/world";
import { Result } from "true-myth";

import type { Settings } from "./settings.js";
import { settingsSchema } from "./settings.js";

/** Reads the settings file `file`. The error is a text for people, with one line and a remedy for each mistake. */
export const loadSettings = async (file: string): Promise<Result<Settings, string>> => {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        return Result.err(`${file}: reading failed (${reason}); pass a readable settings file with --config`);
    }
    return parseTomlDocument(text, settingsSchema).mapErr(mistakes =>
        mistakes
            .map(mistake => `${file}:${String(mistake.line ?? 1)}: ${mistake.key || "document"}: ${mistake.message}`)
            .join("\n")
    );
};
