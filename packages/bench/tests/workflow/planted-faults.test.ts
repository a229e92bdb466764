import { findBreach } from "@jayfront/platform-stand-in";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { PlantedFault, PlantedFaultName } from "../../src/workflow/planted-faults.js";
import { plantedFaults } from "../../src/workflow/planted-faults.js";
import { simulateRandomDay } from "../../src/workflow/simulate-random-day.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Random days that have to suffice to detect a planted fault; a check that needs more would miss it in daily use. */
const dayLimit = 40;

/** Faults that appear only with tasks that outlast a lease; the tasks of random days are shorter. */
const longTaskFaults: readonly PlantedFaultName[] = [
    "deadlines count from the answer to the renewal",
    "a worker's clock is sampled after the renewal",
];
const isLongTaskFault = (name: string): boolean => longTaskFaults.some(fault => fault === name);

describe("planted faults", () => {
    let time: FakeTime;
    beforeEach(() => {
        time = installFakeTime();
    });
    afterEach(() => {
        time.restore();
    });
    it.each(Object.entries<PlantedFault>(plantedFaults).filter(([name]) => !isLongTaskFault(name)))(
        "random days detect that %s",
        async (...[, plantedFault]) => {
            let findings: unknown[] = [];
            for (let seed = 0; seed < dayLimit && findings.length === 0; seed += 1) {
                const { breach, unfinished, ranThoughRefused } = await simulateRandomDay({ seed, time, plantedFault });
                findings = [...breach === undefined ? [] : [breach], ...unfinished, ...ranThoughRefused];
                time.restore();
                time = installFakeTime();
            }
            expect(findings.length).toBeGreaterThan(0);
        },
    );

    it.each<[string, PlantedFault | undefined, boolean]>([
        ["nothing is wrong", undefined, false],
        ...longTaskFaults.map((name): [string, PlantedFault, boolean] => [name, plantedFaults[name], true]),
    ])("a worker that is cut off reveals whether %s", async (...[, plantedFault, isBroken]) => {
        const cluster = createWorkflowCluster({
            hosts: { "east-a": 2 },
            workers: { "east-a": 3 },
            // Workers limit deadlines to their longest lease; the default would hide the faults.
            longestLease: 20_000,
            ...(plantedFault === undefined ? {} : { plantedFault }),
        });
        await time.advance(3_000);
        void cluster.submit(cluster.holder() ?? "", "0000000000000001", [{}], { work: 60_000 });
        await time.advance(4_000);
        const worker = [...cluster.platform.workers.values()].find(candidate => candidate.running().length > 0);
        const address = cluster.platform.addressOf(worker?.id ?? "");
        cluster.platform.network.addFault({ matches: (...[, call]) => call.address === address, action: "cut" });
        await time.advance(16_000);
        const { events } = cluster.platform.journal;
        expect(events.filter(event => event.kind === "started")).toHaveLength(2);
        expect(findBreach(events) !== undefined).toBe(isBroken);
        cluster.stop();
    });
});
