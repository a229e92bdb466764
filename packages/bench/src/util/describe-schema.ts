import type { z } from "zod";
import { toJSONSchema } from "zod";

/** One key of a settings file or document. */
export interface SchemaKey {
    /** Dotted path, with `*` for a name that the operator chooses. */
    readonly key: string;
    readonly type: string;
    /** `required`, or the default as JSON. */
    readonly defaultValue: string;
    /** Bounds and allowed values. */
    readonly bounds: string;
    /** Doc comment of the key in the source of the schema. */
    readonly meaning: string;
}

/** The parts of a JSON schema that are read here. */
interface SchemaNode {
    readonly type?: string;
    readonly properties?: Readonly<Record<string, SchemaNode>>;
    readonly required?: readonly string[];
    readonly additionalProperties?: SchemaNode | boolean;
    readonly items?: SchemaNode;
    readonly default?: unknown;
    readonly minimum?: number;
    readonly exclusiveMinimum?: number;
    readonly maximum?: number;
    readonly enum?: readonly unknown[];
    readonly minLength?: number;
}

/** Reads doc comments by dotted key from `source`, whose schema has to consist of nested `z.strictObject` calls. */
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

const describeBounds = (node: SchemaNode): string =>
    [
        node.minimum !== undefined && node.minimum > Number.MIN_SAFE_INTEGER ? `from ${String(node.minimum)}` : "",
        node.exclusiveMinimum !== undefined ? `above ${String(node.exclusiveMinimum)}` : "",
        node.maximum !== undefined && node.maximum < Number.MAX_SAFE_INTEGER ? `to ${String(node.maximum)}` : "",
        node.enum !== undefined ? node.enum.join(", ") : "",
        node.minLength !== undefined ? `${String(node.minLength)} characters or more` : "",
    ].filter(part => part !== "").join(" ");

const collectKeys = (
    node: SchemaNode,
    path: readonly string[],
    isRequired: boolean,
    comments: ReadonlyMap<string, string>,
): readonly SchemaKey[] => {
    if (node.properties !== undefined) {
        return Object.entries(node.properties).flatMap(([key, child]) =>
            collectKeys(
                child,
                [...path, key],
                node.required?.includes(key) === true && child.default === undefined,
                comments,
            )
        );
    }
    if (typeof node.additionalProperties === "object") {
        return collectKeys(node.additionalProperties, [...path, "*"], false, comments);
    }
    const key = path.join(".");
    return [{
        key,
        type: node.items === undefined ? node.type ?? "value" : `list of ${node.items.type ?? "values"}`,
        defaultValue: node.default === undefined ? isRequired ? "required" : "none" : JSON.stringify(node.default),
        bounds: describeBounds(node),
        meaning: comments.get(path.filter(part => part !== "*").join(".")) ?? comments.get(path.at(-1) ?? "") ?? "",
    }];
};

/** Lists every key of `schema` with its doc comment in `source`, the text of the file that declares the schema. */
export const describeSchema = (schema: z.ZodType, source: string): readonly SchemaKey[] =>
    collectKeys(
        toJSONSchema(schema, { io: "input", unrepresentable: "any" }) as SchemaNode,
        [],
        true,
        readComments(source),
    );
