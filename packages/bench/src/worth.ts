import { createReadStream } from "node:fs";
import { writeFile } from "node:fs/promises";
import { createInterface } from "node:readline";

import Table from "cli-table3";
import meow from "meow";
import { parse, View } from "vega";
import { compile } from "vega-lite";

import type { LogLine } from "./worth/log-line.js";
import { parseLogLine } from "./worth/log-line.js";
import type { QueueTimes } from "./worth/summarize-queue-times.js";
import { summarizeQueueTimes, timeCauses } from "./worth/summarize-queue-times.js";

const command = meow(
    `
    Usage
      $ npm run worth -- LOG [--plot FILE]

    Reads the log of one or more daemons (JSON lines, with or without a prefix) and shows by queue where the time of
    completed workflows went. "runs again" and "slowed" are parts of the run time, summed over tasks.

    Options
      --plot FILE  also writes the table as a bar chart (SVG)
`,
    { importMeta: import.meta, flags: { plot: { type: "string" } } },
);

const readLines = async (file: string): Promise<LogLine[]> => {
    const lines: LogLine[] = [];
    for await (const text of createInterface({ input: createReadStream(file) })) {
        const line = parseLogLine(text);
        if (line !== undefined) {
            lines.push(line);
        }
    }
    return lines;
};
const renderChart = async (queueTimes: readonly QueueTimes[]): Promise<string> => {
    const values = queueTimes.flatMap(({ queue, byCause }) =>
        timeCauses.map(cause => ({ queue, cause, seconds: byCause[cause] / 1_000 }))
    );
    const { spec } = compile({
        $schema: "https://vega.github.io/schema/vega-lite/v6.json",
        data: { values },
        mark: "bar",
        encoding: {
            y: { field: "queue", type: "nominal" },
            x: { field: "seconds", type: "quantitative", title: "seconds of a completed workflow" },
            color: { field: "cause", type: "nominal", sort: [...timeCauses] },
        },
    });
    return new View(parse(spec), { renderer: "none" }).toSVG();
};

const [file] = command.input;
if (file === undefined) {
    command.showHelp();
}
const queueTimes = summarizeQueueTimes(await readLines(file ?? ""));
const table = new Table({
    style: { head: [], border: [], compact: true },
    head: ["queue", "completed", "ended", "mean ms", ...timeCauses],
});
for (const { queue, completed, ended, total, byCause } of queueTimes) {
    table.push([queue, completed, ended, Math.round(total), ...timeCauses.map(cause => Math.round(byCause[cause]))]);
}
process.stdout.write(`${table.toString()}\n`);
if (command.flags.plot !== undefined) {
    await writeFile(command.flags.plot, await renderChart(queueTimes));
}
