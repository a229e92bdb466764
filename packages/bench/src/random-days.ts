import meow from "meow";

import { installFakeTime } from "./util/fake-time.js";
import { readKnownRed } from "./util/known-red.js";
import { playRandomDay } from "./workflow/play-random-day.js";

const command = meow(
    `
    Usage
      $ npm run random-days [-- --from N --days N]

    Plays entry hosts on the platform's stand-in under random faults in fake time, one day for each seed, and judges
    by what the workers did and what submitters were told. Exits with 1 on a broken promise that KNOWN-RED.txt does
    not list.

    Options
      --from N  first seed, default 0
      --days N  default 60
`,
    {
        importMeta: import.meta,
        flags: {
            from: { type: "number", default: 0 },
            days: { type: "number", default: 60 },
        },
    },
);
const { from, days } = command.flags;
const knownRed = await readKnownRed();
let broken = 0;
for (let seed = from; seed < from + days; seed += 1) {
    const time = installFakeTime();
    const { breach, unfinished, ranThoughRefused, faults } = await playRandomDay({ seed, time });
    time.restore();
    const findings = [
        ...breach === undefined ? [] : [breach],
        ...unfinished.map(found => `accepted, but not completed: ${found}`),
        ...ranThoughRefused.map(found => `ran though refused: ${found}`),
    ];
    if (findings.length === 0) {
        continue;
    }
    const isKnown = knownRed.has(`random-days seed ${String(seed)}`);
    broken += isKnown ? 0 : 1;
    const note = isKnown ? " (known red)" : `\n${faults.map(fault => `  ${fault}`).join("\n")}`;
    process.stdout.write(`seed ${String(seed)}: ${findings.join("; ")}${note}\n`);
}
process.stdout.write(
    `${String(days)} days from seed ${String(from)}: ${String(broken)} with a broken promise not known\n`,
);
process.exit(broken === 0 ? 0 : 1);
