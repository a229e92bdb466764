import type { NetworkCall, NetworkFault } from "@jayfront/platform-stand-in";
import { isWriteCall } from "@jayfront/platform-stand-in";

import type { FaultContext } from "./fault-context.js";
import type { OverlapSafeCluster } from "./overlap-safe-cluster.js";
import { randomFaults } from "./random-faults.js";

/** A play on a cluster on which faults may overlap. */
export interface SeveralCellsFaultContext extends FaultContext {
    readonly cluster: OverlapSafeCluster;
}

/** A fault of a day with several cells. */
export interface WeightedFault {
    readonly name: string;
    /** Share of this fault in all that strike, relative to the others. */
    readonly weight: number;
    readonly strike: (play: SeveralCellsFaultContext) => void;
}

/** Whether the call writes an index row, as only the acceptance of a workflow does within a day. */
const isAcceptance = (call: NetworkCall): boolean =>
    isWriteCall(call) && JSON.stringify(call.body).includes("workflow-index");

/** Loses the answers of such calls, or does them late without an answer, for a few seconds. */
const loseOrDelay = (
    { cluster, draw, runAfter: later }: SeveralCellsFaultContext,
    matches: NetworkFault["matches"],
): void => {
    const fault: NetworkFault = draw() < 0.3
        ? { matches, action: "lose-answer" }
        : { matches, action: "late", delay: 500 + draw() * 5_500 };
    later(500 + draw() * 4_000, cluster.platform.network.addFault(fault));
};

const cellOf = ({ cluster, pick }: SeveralCellsFaultContext): string =>
    pick(cluster.platform.store.rows("cells").filter(row => row.key === "holder").map(row => row.part)) ?? "";

const ownFaults: readonly WeightedFault[] = [
    {
        name: "lose or delay acceptances of a cell",
        weight: 6,
        strike: play => {
            const cell = cellOf(play);
            loseOrDelay(play, (...[, call]) => isAcceptance(call) && JSON.stringify(call.body).includes(`"${cell}"`));
        },
    },
    {
        name: "lose or delay acceptances of some hosts",
        weight: 5,
        strike: play => {
            const struck = new Set(play.cluster.hostIds.filter(() => play.draw() < 0.5));
            loseOrDelay(play, (from, call) => struck.has(from) && isAcceptance(call));
        },
    },
    {
        name: "slow the store",
        weight: 2,
        strike: ({ cluster, draw, runAfter: later }) => {
            const fault: NetworkFault = {
                matches: (...[, call]) => call.address === cluster.platform.storeAddress,
                action: "slow",
                delay: 100 + draw() * 1_200,
            };
            later(500 + draw() * 4_000, cluster.platform.network.addFault(fault));
        },
    },
    {
        name: "freeze a host",
        weight: 4,
        strike: ({ cluster, draw, pick, runAfter: later }) => {
            later(500 + draw() * 6_000, cluster.freeze(pick(cluster.hostIds) ?? ""));
        },
    },
    {
        name: "cut a holder off",
        weight: 4,
        strike: play => {
            const { cluster, draw, runAfter: later } = play;
            later(500 + draw() * 6_000, cluster.isolate(cluster.holder(cellOf(play)) ?? ""));
        },
    },
    {
        name: "restart a holder",
        weight: 4,
        strike: play => {
            void play.cluster.restart(play.cluster.holder(cellOf(play)) ?? "", 300 + play.draw() * 2_000);
        },
    },
    {
        name: "restart all hosts one after the other",
        weight: 2,
        strike: ({ cluster, draw, runAfter: later }) => {
            const downTime = 200 + draw() * 1_000;
            const interval = 300 + draw() * 900;
            cluster.hostIds.forEach((id, number) => {
                later(number * interval, () => void cluster.restart(id, downTime));
            });
        },
    },
];

/** Faults of a day with several cells, those of all days among them. */
export const severalCellsFaults: readonly WeightedFault[] = [
    ...ownFaults,
    ...Object.entries(randomFaults).map(([name, strike]) => ({ name, weight: 1, strike })),
];
