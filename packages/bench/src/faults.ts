import Table from "cli-table3";
import meow from "meow";

import { faultPairs, matrixFaults } from "./fault-matrix/matrix-faults.js";
import { matrixSteps } from "./fault-matrix/matrix-steps.js";
import type { FaultCase, FaultCaseResult } from "./fault-matrix/simulate-fault-case.js";
import { simulateFaultCase } from "./fault-matrix/simulate-fault-case.js";
import { promiseDescriptions } from "./promises/promise.js";
import { readKnownRed } from "./util/read-known-red.js";
import { runOnThreads } from "./util/run-on-threads.js";

const command = meow(
    `
    Usage
      $ npm run faults [-- --seed N --cell "FAULT/STEP"]

    Brings about every fault at every step, and pairs of faults, in fake time, and checks all promises by the
    stand-in's journal and the callers' views. Exits with 1 where a cell is red that KNOWN-RED.txt does not record.

    Options
      --seed N       default 1
      --cell NAME    play one cell, such as "host killed/task running", and print what it shows
      --threads N    default 5

    Signs
      + all promises held, x a promise was broken, ? the step did not come about
`,
    {
        importMeta: import.meta,
        flags: {
            seed: { type: "number", default: 1 },
            cell: { type: "string" },
            threads: { type: "number", default: 5 },
        },
    },
);
const { seed, cell, threads } = command.flags;

const signOf = (verdict: FaultCaseResult | undefined): string =>
    verdict === undefined || !verdict.hasInjectedFaults ? "?" : verdict.violations.length === 0 ? "+" : "x";
const nameOf = ({ faults, step }: FaultCase): string => `${faults.join("+")}/${step}`;

if (cell !== undefined) {
    const [faults = "", step = ""] = cell.split("/");
    const verdict = await simulateFaultCase({ faults: faults.split("+"), step, seed });
    process.stdout.write(`${cell}: ${signOf(verdict)}\n`);
    for (const { promise, evidence } of verdict.violations) {
        process.stdout.write(`  ${promise} (${promiseDescriptions[promise]}): ${evidence}\n`);
    }
    process.exit(signOf(verdict) === "+" ? 0 : 1);
}

const faultNames = Object.keys(matrixFaults);
const stepNames = Object.keys(matrixSteps);
const single = faultNames.flatMap(fault => stepNames.map(step => ({ faults: [fault], step, seed })));
const pairs = faultPairs.map(faults => ({ faults, step: "task running", seed }));
const cells: readonly FaultCase[] = [...single, ...pairs];
const verdicts = await runOnThreads<FaultCase, FaultCaseResult>(cells, {
    module: new URL("./fault-matrix/matrix-thread.js", import.meta.url),
    threads,
});
const table = new Table({
    head: ["fault", ...[...stepNames.keys()].map(index => String(index + 1))],
    style: { head: [], border: [], compact: true },
});
faultNames.forEach((fault, row) => {
    const signs = [...stepNames.keys()].map(column => signOf(verdicts[row * stepNames.length + column]));
    table.push([fault, ...signs]);
});
process.stdout.write(`${table.toString()}\n`);
process.stdout.write(`${stepNames.map((step, index) => `${String(index + 1)} ${step}`).join(", ")}\n`);
process.stdout.write(`promises checked: ${Object.keys(promiseDescriptions).join(", ")}\n`);
const knownRed = await readKnownRed();
let isClean = true;
cells.forEach((played, position) => {
    const verdict = verdicts[position];
    const sign = signOf(verdict);
    if (played.faults.length > 1) {
        process.stdout.write(`${sign} ${nameOf(played)}\n`);
    }
    if (sign === "+") {
        return;
    }
    const isKnown = knownRed.has(`faults ${nameOf(played)}`);
    isClean &&= isKnown;
    const [first] = verdict?.violations ?? [];
    const reason = first === undefined ? "the step did not come about" : `${first.promise}: ${first.evidence}`;
    process.stdout.write(`${isKnown ? "known red" : "RED"} ${nameOf(played)} (seed ${String(seed)}): ${reason}\n`);
});
process.exit(isClean ? 0 : 1);
