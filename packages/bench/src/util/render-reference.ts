import { readFile } from "node:fs/promises";
import { join } from "node:path";

import { createMetrics, problemKinds, settingsSchema } from "@jayfront/jayfrontd";
import { environmentDocument } from "@jayfront/world";
import type { z } from "zod";

import { describeSchema } from "./describe-schema.js";
import { repositoryRoot } from "./repository-root.js";

const renderTable = (header: readonly string[], rows: readonly (readonly string[])[]): string =>
    [header, header.map(() => "---"), ...rows].map(row => `| ${row.join(" | ")} |`).join("\n");

const renderSchemaTable = async (schema: z.ZodType, file: string): Promise<string> => {
    const keys = describeSchema(schema, await readFile(join(repositoryRoot, file), "utf8"));
    return renderTable(
        ["Key", "Type", "Default", "Bounds", "Meaning"],
        keys.map((
            { key, type, defaultValue, bounds, meaning },
        ) => [`\`${key}\``, type, defaultValue, bounds, meaning]),
    );
};

/** Renders the reference page of settings, environment documents, metrics and problems as Markdown. */
export const renderReference = async (): Promise<string> => {
    const metrics = await createMetrics().registry.getMetricsAsJSON();
    return [
        "# Reference",
        "Made by `npm run reference` from the schemas, the metrics and the table of problems.",
        "## Settings of an entry host",
        await renderSchemaTable(settingsSchema, "packages/jayfrontd/src/settings.ts"),
        "## Environment document",
        await renderSchemaTable(environmentDocument, "packages/world/src/environment.ts"),
        "## Metrics",
        renderTable(
            ["Name", "Type", "Meaning"],
            metrics.map(({ name, type, help }) => [`\`${name}\``, String(type), help]),
        ),
        "## Problems",
        renderTable(
            ["Problem", "Status", "Result", "Retry after", "What it says"],
            Object.entries(problemKinds).map(([name, kind]) => [
                `\`${name}\``,
                String(kind.status),
                kind.result,
                "retryAfter" in kind ? `${String(kind.retryAfter)} s` : "-",
                kind.title,
            ]),
        ),
        "",
    ].join("\n\n");
};
