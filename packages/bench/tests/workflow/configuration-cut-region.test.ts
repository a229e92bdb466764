import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import { createRegionLink } from "../../src/workflow/region-link.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { largeConfiguration } from "./large-configuration.js";

/** Milliseconds from the start until the cluster serves requests. */
const warmUp = 5_000;
/** Milliseconds within which every host has to have a version. */
const bound = 2_500;
const [near, far] = ["near", "far"] as const;

describe.each([
    { name: "9 hosts, 8 Mbit/s", hosts: { "near-a": 3, "near-b": 3, "far-a": 3 }, rate: 8 },
    {
        name: "38 hosts, 42 Mbit/s",
        hosts: { "near-a": 7, "near-b": 6, "near-c": 6, "far-a": 7, "far-b": 6, "far-c": 6 },
        rate: 42,
    },
])("a configuration version: $name", ({ hosts, rate }) => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    /** Hosts that have notified others of a version. */
    const relays = new Set<string>();
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts,
            workers: Object.fromEntries(Object.keys(hosts).map(domain => [domain, 1])),
            regions: Object.fromEntries(
                Object.keys(hosts).map(domain => [domain, domain.startsWith(near) ? near : far]),
            ),
            link: createRegionLink(rate),
            onPeerCall: (from, kind) => {
                if (kind === "configuration-notice") {
                    relays.add(from);
                }
            },
        });
        await time.advance(warmUp);
        cluster.platform.configure(largeConfiguration(10));
        await time.advance(2 * warmUp);
        relays.clear();
        cluster.platform.configure(largeConfiguration(11));
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const idsOf = (region: string): string[] => [...cluster.hosts.keys()].filter(id => id.startsWith(`h-${region}`));
    const hostsWithout = (version: number, ids: readonly string[]): string[] =>
        ids.filter(id => cluster.hosts.get(id)?.configuration()?.version !== version);
    const timeTo = async (version: number, ids: readonly string[]): Promise<number> => {
        const start = time.now();
        await time.advanceUntil(() => hostsWithout(version, ids).length === 0, 4 * bound);
        return time.now() - start;
    };
    const cutFromStore = (ids: readonly string[]): () => void =>
        cluster.platform.network.addFault({
            matches: (from, call) => ids.includes(from) && call.address === cluster.platform.storeAddress,
            action: "cut",
        });

    // Guards against connected hosts that wait for cut-off ones, which announce that they receive new versions before
    // the store has answered them.
    it.each([0, 150, 300, 450])(
        "reaches the far region while the near one has been cut off from the store for %i ms",
        async cutTime => {
            cutFromStore(idsOf(near));
            await time.advance(cutTime);
            cluster.platform.configure(largeConfiguration(12));
            expect(await timeTo(12, idsOf(far))).toBeLessThan(bound);
        },
    );

    // Guards against all hosts reading the whole row at the same time over the slow link.
    it("reaches the far region while all relays are cut off from the store", async () => {
        cutFromStore([...relays]);
        cluster.platform.configure(largeConfiguration(12));
        expect(await timeTo(12, [...cluster.hosts.keys()])).toBeLessThan(bound);
    });

    it("reaches all hosts after all relays were killed", async () => {
        [...relays].forEach(cluster.kill);
        cluster.platform.configure(largeConfiguration(12));
        expect(await timeTo(12, [...cluster.hosts.keys()])).toBeLessThan(bound);
    });
});
