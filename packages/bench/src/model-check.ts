import meow from "meow";

import { findViolation } from "./promises/find-violation.js";

const command = meow(
    `
    Usage
      $ npm run model-check [-- --seed N --runs N]

    Applies random kills, pauses, delays, store outages and lost calls and replies to entry hosts and the stand-in's
    workers in fake time, and checks each run against the stand-in's journal. Exits with 1 on a violation and prints
    the steps that reproduce it.

    Options
      --seed N                 default 1
      --runs N                 number of random runs, default 100
      --shrink                 reduce a violation to a minimal list of steps
      --plant fence|first      plant a fault that the search must find: workers that ignore fences, or a holder
                               that starts tasks once its first worker is adopted
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
