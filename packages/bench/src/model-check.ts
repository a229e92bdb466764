import meow from "meow";

import { findViolation } from "./promises/find-violation.js";

const command = meow(
    `
    Usage
      $ npm run model-check [-- --seed N --runs N]

    Plays random kills, pauses, losses and delays against real hosts and the stand-in's workers in fake time, and
    judges each run by the stand-in's journal. Exits with 1 on a violation and prints the steps that show it.

    Options
      --seed N                 default 1
      --runs N                 default 100
      --shrink                 make the steps of a violation fewer
      --plant fence|first      switch a fault on that the search must find
`,
    {
        importMeta: import.meta,
        flags: {
            seed: { type: "number", default: 1 },
            runs: { type: "number", default: 100 },
            shrink: { type: "boolean", default: false },
            plant: { type: "string", choices: ["fence", "first"] },
        },
    },
);
const { seed, runs, shrink, plant } = command.flags;
const violation = await findViolation({
    seed,
    runs,
    shouldShrink: shrink,
    ignoresFence: plant === "fence",
    startsAfterFirstAdoption: plant === "first",
});
process.stdout.write(
    violation === undefined ? `${String(runs)} runs of seed ${String(seed)}: no violation\n` : `${violation}\n`,
);
process.exit(violation === undefined ? 0 : 1);
