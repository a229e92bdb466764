import type { z } from "zod";
import { toJSONSchema } from "zod";

/** One key of a settings file or document. */
export interface SchemaKey {
    /** Dotted, with `*` for a name that the operator chooses. */
    readonly key: string;
    readonly type: string;
    /** `required`, or the default as JSON. */
    readonly defaultValue: string;
    /** Bounds and allowed values. */
    readonly bounds: string;
    readonly meaning: string;
}

interface Node {
    readonly type?: string;
    readonly properties?: Readonly<Record<string, Node>>;
    readonly required?: readonly string[];
    readonly additionalProperties?: Node | boolean;
    readonly items?: Node;
    readonly default?: unknown;
    readonly minimum?: number;
    readonly exclusiveMinimum?: number;
    readonly maximum?: number;
    readonly enum?: readonly unknown[];
    readonly minLength?: number;
}

/** Doc comments in `source` by dotted key, read from a schema written as nested `z.strictObject` calls. */
const readComments = (source: string): ReadonlyMap<string, string> => {
    const comments = new Map<string, string>();
    const path: string[] = [];
    let comment = "";
    for (const line of source.split("\n")) {
        const text = /^\s*\/\*\* (.*) \*\/$/.exec(line)?.[1];
        const key = /^\s+"?([\w-]+)"?(?:: |,$)/.exec(line)?.[1];
        if (text !== undefined) {
            comment = text;
            continue;
        }
        if (key !== undefined) {
            comments.set([...path, key].join("."), comment);
            comment = "";
            if (/strictObject\(\{$/.test(line)) {
                path.push(key);
            }
        }
        else if (/^\s+\}\)/.test(line)) {
            path.pop();
        }
    }
    return comments;
};

const boundsOf = (node: Node): string =>
    [
        node.minimum !== undefined && node.minimum > Number.MIN_SAFE_INTEGER ? `from ${String(node.minimum)}` : "",
        node.exclusiveMinimum !== undefined ? `above ${String(node.exclusiveMinimum)}` : "",
        node.maximum !== undefined && node.maximum < Number.MAX_SAFE_INTEGER ? `to ${String(node.maximum)}` : "",
        node.enum !== undefined ? node.enum.join(", ") : "",
        node.minLength !== undefined ? `${String(node.minLength)} characters or more` : "",
    ].filter(part => part !== "").join(" ");

const walk = (
    node: Node,
    path: readonly string[],
    isRequired: boolean,
    comments: ReadonlyMap<string, string>,
): readonly SchemaKey[] => {
    if (node.properties !== undefined) {
        return Object.entries(node.properties).flatMap(([key, child]) =>
            walk(child, [...path, key], node.required?.includes(key) === true && child.default === undefined, comments)
        );
    }
    if (typeof node.additionalProperties === "object") {
        return walk(node.additionalProperties, [...path, "*"], false, comments);
    }
    const key = path.join(".");
    return [{
        key,
        type: node.items === undefined ? node.type ?? "value" : `list of ${node.items.type ?? "values"}`,
        defaultValue: node.default === undefined ? isRequired ? "required" : "none" : JSON.stringify(node.default),
        bounds: boundsOf(node),
        meaning: comments.get(path.filter(part => part !== "*").join(".")) ?? comments.get(path.at(-1) ?? "") ?? "",
    }];
};

/** Lists every key of `schema` with the comments that stand in its `source`. */
export const describeSchema = (schema: z.ZodType, source: string): readonly SchemaKey[] =>
    walk(toJSONSchema(schema, { io: "input", unrepresentable: "any" }) as Node, [], true, readComments(source));
