import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const domains = ["east-a", "east-b", "east-c"];
const cells = domains.map(domain => `${domain}/0`);
const hostsPerDomain = 3;
const hostIds = domains.flatMap(domain =>
    Array.from({ length: hostsPerDomain }, (...[, number]) => `h-${domain}-${String(number)}`)
);
/** Milliseconds until all cells have a holder. */
const warmUp = 5_000;
/** Milliseconds from a stop signal until the process ends, and from then until it starts again. */
const drainTime = 2_000;
const downTime = 2_700;
/** Milliseconds between the stops of two hosts. */
const interval = 2_000;
/** Milliseconds from the start of all hosts until all cells have a holder again. */
const takeoverBound = 3_000;
/** Milliseconds that small hosts measure too much while all start at once, one alone, and while the store is slow. */
const startDelays = { together: 8, alone: 14, slowStore: 95 };

describe("hosts that restart in turn", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let startDelay: number;
    beforeEach(async () => {
        time = installFakeTime();
        startDelay = startDelays.together;
        cluster = createWorkflowCluster({
            hosts: Object.fromEntries(domains.map(domain => [domain, hostsPerDomain])),
            workers: Object.fromEntries(domains.map(domain => [domain, 3])),
            regions: Object.fromEntries(domains.map(domain => [domain, "east"])),
            largestCell: 0,
            startDelay: () => startDelay,
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    const restart = async (id: string): Promise<void> => {
        void cluster.hosts.get(id)?.drain();
        await time.advance(drainTime);
        cluster.kill(id);
        setTimeout(() => {
            cluster.start(id);
        }, downTime);
    };
    /** Restarts all hosts but one, some of them while the store is slow. */
    const restartAllBut = async (spared: string | undefined): Promise<void> => {
        for (const [number, id] of hostIds.filter(each => each !== spared).entries()) {
            startDelay = number % 3 === 1 ? startDelays.slowStore : startDelays.alone;
            await restart(id);
            await time.advance(interval);
        }
        await time.advance(downTime + takeoverBound);
    };
    const holders = (): readonly (string | undefined)[] => cells.map(cell => cluster.holder(cell));

    // Guards against a host that takes all cells of its region, since the store seemed nearer to it when it started.
    it.each([...hostIds, undefined])("hold no more than one cell each (kept running: %s)", async spared => {
        await restartAllBut(spared);
        expect(new Set(holders()).size).toBe(cells.length);
    });
});
