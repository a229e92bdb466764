import { mkdir, writeFile } from "node:fs/promises";
import { dirname, join } from "node:path";

import Table from "cli-table3";
import meow from "meow";

import { measureDecisions, measureMessages, measureStoreAndPeerTraffic } from "./capacity/in-process-slopes.js";
import { measureProcesses } from "./capacity/process-slopes.js";
import type { Slope } from "./capacity/slope.js";
import { repositoryRoot } from "./util/repository-root.js";

const resultsFile = join(repositoryRoot, "packages/bench/results/slopes.json");

const command = meow(
    `
    Usage
      $ npm run slopes [-- --quick --save]

    Measures the slopes that docs/CAPACITY.md uses and prints each with its linear fit. Takes about four minutes.

    Options
      --quick  skip the measurements on real processes
      --save   save the raw figures in packages/bench/results/slopes.json
`,
    {
        importMeta: import.meta,
        flags: { quick: { type: "boolean", default: false }, save: { type: "boolean", default: false } },
    },
);
const slopes: readonly Slope[] = [
    ...measureDecisions(),
    ...measureMessages(),
    ...await measureStoreAndPeerTraffic(),
    ...(command.flags.quick ? [] : await measureProcesses()),
];
const formatFigure = (value: number): string => Number(value.toPrecision(3)).toString();
const table = new Table({
    head: ["figure", "by", "unit", "points", "base", "per unit", "error"],
    style: { head: [], border: [], compact: true },
});
for (const slope of slopes) {
    const points = slope.points.map(([size, figure]) => `${formatFigure(size)}: ${formatFigure(figure)}`).join("  ");
    table.push([
        slope.name,
        slope.size,
        slope.unit,
        points,
        formatFigure(slope.base),
        formatFigure(slope.perUnit),
        `${formatFigure(slope.error * 100)}%`,
    ]);
}
process.stdout.write(`${table.toString()}\n`);
if (command.flags.save) {
    await mkdir(dirname(resultsFile), { recursive: true });
    await writeFile(resultsFile, `${JSON.stringify(slopes, undefined, 4)}\n`);
}
process.exit(0);
