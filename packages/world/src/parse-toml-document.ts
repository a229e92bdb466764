import { parse, TomlError } from "smol-toml";
import { Result } from "true-myth";
import type { z } from "zod";

import type { DocumentMistake } from "./document-mistake.js";
import { locateTomlKey } from "./util/locate-toml-key.js";

const valueAt = (root: unknown, path: readonly PropertyKey[]): unknown =>
    path.reduce<unknown>(
        (value, key) =>
            typeof value === "object" && value !== null ? (value as Record<PropertyKey, unknown>)[key] : undefined,
        root,
    );

const describeIssue = (issue: z.core.$ZodIssue, root: unknown): string => {
    if (issue.code === "unrecognized_keys") {
        return `unknown key ${issue.keys.map(key => `"${key}"`).join(", ")}; remove it or correct its spelling`;
    }
    const found = valueAt(root, issue.path);
    const description = found === undefined ? "nothing" : JSON.stringify(found)?.slice(0, 80) ?? typeof found;
    return issue.code === "invalid_type"
        ? `write ${issue.expected === "object" ? "a table" : `a value of type ${issue.expected}`}; found ${description}`
        : `${issue.message}; found ${description}`;
};

/**
 * Parses TOML `text` and validates it against `schema`. Each mistake names its line, its key, what was found and what
 * to write instead.
 */
export const parseTomlDocument = <Schema extends z.ZodType>(
    text: string,
    schema: Schema,
): Result<z.infer<Schema>, readonly DocumentMistake[]> => {
    let root: unknown;
    try {
        root = parse(text);
    }
    catch (error) {
        const line = error instanceof TomlError ? error.line : undefined;
        const message = error instanceof Error ? error.message.split("\n")[0] ?? "" : String(error);
        return Result.err([{ line, key: "", message: `not valid TOML: ${message}` }]);
    }
    const parsed = schema.safeParse(root);
    if (parsed.success) {
        return Result.ok(parsed.data);
    }
    return Result.err(parsed.error.issues.map(issue => {
        const path = issue.code === "unrecognized_keys" ? [...issue.path, issue.keys[0] ?? ""] : issue.path;
        return { line: locateTomlKey(text, path), key: path.join("."), message: describeIssue(issue, root) };
    }));
};
