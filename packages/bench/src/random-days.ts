import meow from "meow";

import type { FakeTime } from "./util/fake-time.js";
import { installFakeTime } from "./util/fake-time.js";
import { readKnownRed } from "./util/read-known-red.js";
import { evacuationFaults } from "./workflow/evacuation-faults.js";
import { fullCellsProfile } from "./workflow/full-cells-profile.js";
import { replacementFaults } from "./workflow/replacement-faults.js";
import type { SeveralCellsProfile } from "./workflow/several-cells-profile.js";
import { shortLivedProfile } from "./workflow/several-cells-profile.js";
import { simulateDrainedWorkersDay } from "./workflow/simulate-drained-workers-day.js";
import type { RandomDayOptions } from "./workflow/simulate-random-day.js";
import { simulateRandomDay } from "./workflow/simulate-random-day.js";
import { simulateSeveralCellsDay } from "./workflow/simulate-several-cells-day.js";

const command = meow(
    `
    Usage
      $ npm run random-days [-- --from N --days N --cells one|several|full|replaced|drained|evacuated]

    Simulates entry hosts on the platform stand-in under random faults in fake time, one day for each seed, and checks
    what workers did and which answers submitters got. Exits with 1 on a broken promise that KNOWN-RED.txt does not
    list.

    Options
      --from N         first seed, default 0
      --days N         number of seeds, default 60
      --cells several  three failure domains with a cell each, and submitters that retry, query states and cancel;
                       default one
      --cells full     as several, but the cells are nearly full of long-running work, which fails and is cancelled, and
                       workers leave or crash
      --cells replaced one cell, and faults that replace workers by others at the same address
      --cells drained  one cell, of which workers with long-running tasks drain while orders, the holder and other workers
                       fail
      --cells evacuated
                       one cell, of which failure domains are evacuated beside other faults
`,
    {
        importMeta: import.meta,
        flags: {
            from: { type: "number", default: 0 },
            days: { type: "number", default: 60 },
            cells: {
                type: "string",
                choices: ["one", "several", "full", "replaced", "drained", "evacuated"],
                default: "one",
            },
        },
    },
);
const { from, days, cells } = command.flags;

interface DayResult {
    readonly findings: readonly string[];
    readonly faults: readonly string[];
}

const simulateOneCell = async (options: RandomDayOptions): Promise<DayResult> => {
    const { breach, lateStart, unfinished, ranThoughRefused, faults } = await simulateRandomDay(options);
    const findings = [
        ...[breach, lateStart].filter(found => found !== undefined),
        ...unfinished.map(found => `accepted, but not completed: ${found}`),
        ...ranThoughRefused.map(found => `ran though refused: ${found}`),
    ];
    return { findings, faults };
};
const simulateSeveralCells = async (seed: number, time: FakeTime, profile: SeveralCellsProfile): Promise<DayResult> => {
    const { broken, noted, faults } = await simulateSeveralCellsDay({ seed, time, profile });
    noted.forEach(({ promise, detail }) => {
        process.stdout.write(`seed ${String(seed)}: noted: ${promise}: ${detail}\n`);
    });
    return { findings: broken.map(({ promise, detail }) => `${promise}: ${detail}`), faults };
};
const simulateDrainedWorkers = async (seed: number, time: FakeTime): Promise<DayResult> => {
    const { breach, lost, faults } = await simulateDrainedWorkersDay({ seed, time });
    const findings = [
        ...breach === undefined ? [] : [breach],
        ...lost.map(({ task, from, until }) =>
            `${task} was without a run from ${String(Math.round(from))} to ${String(Math.round(until))} ms`
        ),
    ];
    return { findings, faults };
};
/** Simulations by value of `--cells`. */
const simulations: Record<string, (seed: number, time: FakeTime) => Promise<DayResult>> = {
    one: (seed, time) => simulateOneCell({ seed, time }),
    replaced: (seed, time) => simulateOneCell({ seed, time, injectableFaults: replacementFaults }),
    several: (seed, time) => simulateSeveralCells(seed, time, shortLivedProfile),
    full: (seed, time) => simulateSeveralCells(seed, time, fullCellsProfile),
    drained: simulateDrainedWorkers,
    evacuated: (seed, time) =>
        simulateOneCell({ seed, time, injectableFaults: evacuationFaults, evacuationTime: 5_000 }),
};
/** The name under which KNOWN-RED.txt lists a day. */
const knownRedName = (seed: number): string =>
    cells === "one" ? `random-days seed ${String(seed)}` : `random-days ${cells} cells seed ${String(seed)}`;
const knownRed = await readKnownRed();
let broken = 0;
for (let seed = from; seed < from + days; seed += 1) {
    const time = installFakeTime();
    const { findings = [], faults = [] } = await simulations[cells]?.(seed, time) ?? {};
    time.restore();
    if (findings.length === 0) {
        continue;
    }
    const isKnown = knownRed.has(knownRedName(seed));
    broken += isKnown ? 0 : 1;
    const suffix = isKnown ? " (known red)" : `\n${faults.map(fault => `  ${fault}`).join("\n")}`;
    process.stdout.write(`seed ${String(seed)}: ${findings.join("; ")}${suffix}\n`);
}
process.stdout.write(
    `${String(days)} days from seed ${String(from)}: ${String(broken)} with a broken promise not known\n`,
);
process.exit(broken === 0 ? 0 : 1);
