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

    Injects every fault at every step, and pairs of faults while tasks run, in fake time. Checks all promises against
    the stand-in's journal and the responses that callers got. Exits with 1 if a case is red that KNOWN-RED.txt does not
    list; with --cell, if that cell is red.

    Options
      --seed N       default 1
      --cell NAME    run one cell, such as "host killed/task running", and print the promises that it broke
      --threads N    worker threads, default 5

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

const signOf = (result: FaultCaseResult | undefined): string =>
    result === undefined || !result.hasInjectedFaults ? "?" : result.violations.length === 0 ? "+" : "x";
const nameOf = ({ faults, step }: FaultCase): string => `${faults.join("+")}/${step}`;

if (cell !== undefined) {
    const [faults = "", step = ""] = cell.split("/");
    const result = await simulateFaultCase({ faults: faults.split("+"), step, seed });
    process.stdout.write(`${cell}: ${signOf(result)}\n`);
    for (const { promise, evidence } of result.violations) {
        process.stdout.write(`  ${promise} (${promiseDescriptions[promise]}): ${evidence}\n`);
    }
    process.exit(signOf(result) === "+" ? 0 : 1);
}

const faultNames = Object.keys(matrixFaults);
const stepNames = Object.keys(matrixSteps);
const singleFaultCases = faultNames.flatMap(fault => stepNames.map(step => ({ faults: [fault], step, seed })));
const faultPairCases = faultPairs.map(faults => ({ faults, step: "task running", seed }));
const cases: readonly FaultCase[] = [...singleFaultCases, ...faultPairCases];
const results = await runOnThreads<FaultCase, FaultCaseResult>(cases, {
    module: new URL("./fault-matrix/matrix-thread.js", import.meta.url),
    threads,
});
const table = new Table({
    head: ["fault", ...[...stepNames.keys()].map(index => String(index + 1))],
    style: { head: [], border: [], compact: true },
});
faultNames.forEach((fault, row) => {
    const signs = [...stepNames.keys()].map(column => signOf(results[row * stepNames.length + column]));
    table.push([fault, ...signs]);
});
process.stdout.write(`${table.toString()}\n`);
process.stdout.write(`${stepNames.map((step, index) => `${String(index + 1)} ${step}`).join(", ")}\n`);
process.stdout.write(`promises checked: ${Object.keys(promiseDescriptions).join(", ")}\n`);
const knownRed = await readKnownRed();
let isClean = true;
cases.forEach((faultCase, position) => {
    const result = results[position];
    const sign = signOf(result);
    if (faultCase.faults.length > 1) {
        process.stdout.write(`${sign} ${nameOf(faultCase)}\n`);
    }
    if (sign === "+") {
        return;
    }
    const isKnown = knownRed.has(`faults ${nameOf(faultCase)}`);
    isClean &&= isKnown;
    const [first] = result?.violations ?? [];
    const reason = first === undefined ? "the step did not come about" : `${first.promise}: ${first.evidence}`;
    process.stdout.write(`${isKnown ? "known red" : "RED"} ${nameOf(faultCase)} (seed ${String(seed)}): ${reason}\n`);
});
process.exit(isClean ? 0 : 1);
