import meow from "meow";

import { simulateHolderLoad } from "./capacity/simulate-holder-load.js";

const command = meow(
    `
    Usage
      $ npm run holder-load [-- --workers 246 --seconds 10 --seed 1]

    Plays the holder of one cell under load in fake time and prints the processor time that this took, the stand-in's
    included; node --cpu-prof tells the two apart.
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
