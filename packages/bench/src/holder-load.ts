import meow from "meow";

import { simulateHolderLoad } from "./capacity/simulate-holder-load.js";

const command = meow(
    `
    Usage
      $ npm run holder-load [-- --workers 246 --seconds 10 --seed 1]

    Simulates the holder of one cell under load in fake time and prints the processor time used, including that of the
    stand-in. Run it with node --cpu-prof to tell the two apart.
`,
    {
        importMeta: import.meta,
        flags: {
            workers: { type: "number", default: 246 },
            seconds: { type: "number", default: 10 },
            seed: { type: "number", default: 1 },
        },
    },
);
process.stdout.write(`${JSON.stringify(await simulateHolderLoad(command.flags))}\n`);
process.exit(0);
