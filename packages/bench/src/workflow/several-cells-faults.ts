import type { NetworkCall, NetworkFault } from "@jayfront/platform-stand-in";
import { isWriteCall } from "@jayfront/platform-stand-in";

import type { FaultContext } from "./fault-context.js";
import type { OverlapSafeCluster } from "./overlap-safe-cluster.js";
import { randomFaults } from "./random-faults.js";

/** Context of faults that may overlap. */
export interface SeveralCellsFaultContext extends FaultContext {
    readonly cluster: OverlapSafeCluster;
}

/** A fault that is drawn by its weight. */
export interface WeightedFault {
    readonly name: string;
    /** Probability of this fault relative to the others. */
    readonly weight: number;
    readonly inject: (context: SeveralCellsFaultContext) => void;
}

/** Whether the call writes an index row; within a simulated day, only the acceptance of a workflow does. */
const isAcceptance = (call: NetworkCall): boolean =>
    isWriteCall(call) && JSON.stringify(call.body).includes("workflow-index");

/** For a few seconds, loses the answers of matching calls, or executes the calls late and without an answer. */
const loseOrDelay = ({ cluster, draw, runAfter }: SeveralCellsFaultContext, matches: NetworkFault["matches"]): void => {
    const fault: NetworkFault = draw() < 0.3
        ? { matches, action: "lose-answer" }
        : { matches, action: "late", delay: 500 + draw() * 5_500 };
    runAfter(500 + draw() * 4_000, cluster.platform.network.addFault(fault));
};

/** Draws a cell that has a holder. */
const pickCell = ({ cluster, pick }: SeveralCellsFaultContext): string =>
    pick(cluster.platform.store.rows("cells").filter(row => row.key === "holder").map(row => row.part)) ?? "";

const faultsOfSeveralCells: readonly WeightedFault[] = [
    {
        name: "lose or delay acceptances of a cell",
        weight: 6,
        inject: context => {
            const cell = pickCell(context);
            loseOrDelay(
                context,
                (...[, call]) => isAcceptance(call) && JSON.stringify(call.body).includes(`"${cell}"`),
            );
        },
    },
    {
        name: "lose or delay acceptances of some hosts",
        weight: 5,
        inject: context => {
            const affectedHosts = new Set(context.cluster.hostIds.filter(() => context.draw() < 0.5));
            loseOrDelay(context, (from, call) => affectedHosts.has(from) && isAcceptance(call));
        },
    },
    {
        name: "slow the store",
        weight: 2,
        inject: ({ cluster, draw, runAfter }) => {
            const fault: NetworkFault = {
                matches: (...[, call]) => call.address === cluster.platform.storeAddress,
                action: "slow",
                delay: 100 + draw() * 1_200,
            };
            runAfter(500 + draw() * 4_000, cluster.platform.network.addFault(fault));
        },
    },
    {
        name: "freeze a host",
        weight: 4,
        inject: ({ cluster, draw, pick, runAfter }) => {
            runAfter(500 + draw() * 6_000, cluster.freeze(pick(cluster.hostIds) ?? ""));
        },
    },
    {
        name: "cut a holder off",
        weight: 4,
        inject: context => {
            const { cluster, draw, runAfter } = context;
            runAfter(500 + draw() * 6_000, cluster.isolate(cluster.holder(pickCell(context)) ?? ""));
        },
    },
    {
        name: "restart a holder",
        weight: 4,
        inject: context => {
            void context.cluster.restart(context.cluster.holder(pickCell(context)) ?? "", 300 + context.draw() * 2_000);
        },
    },
    {
        name: "restart all hosts one after the other",
        weight: 2,
        inject: ({ cluster, draw, runAfter }) => {
            const downTime = 200 + draw() * 1_000;
            const interval = 300 + draw() * 900;
            cluster.hostIds.forEach((id, number) => {
                runAfter(number * interval, () => void cluster.restart(id, downTime));
            });
        },
    },
];

/** Faults of a random day with several cells, {@link randomFaults} included. */
export const severalCellsFaults: readonly WeightedFault[] = [
    ...faultsOfSeveralCells,
    ...Object.entries(randomFaults).map(([name, inject]) => ({ name, weight: 1, inject })),
];
