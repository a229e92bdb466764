import type { SeveralCellsFaultContext, WeightedFault } from "./several-cells-faults.js";
import { severalCellsFaults } from "./several-cells-faults.js";

/** Milliseconds from when a worker announces that it drains until it leaves. */
const drainTime = 2_600;
/** Faults of a day with several cells that take hosts or their connections away. */
const hostFaults = new Set([
    "freeze a host",
    "cut a holder off",
    "restart a holder",
    "kill a host",
    "lose answers of workers",
    "lose or delay acceptances of a cell",
    "lose or delay acceptances of some hosts",
    "slow the store",
]);
/** Weight of all {@link hostFaults} relative to those that take workers away, since each disturbs the day for seconds. */
const hostFaultWeight = 0.25;

/** Stops a worker; nothing listens at its address until a new one starts there some seconds later. */
const remove = ({ cluster: { platform }, draw, runAfter }: SeveralCellsFaultContext, worker: string): void => {
    if (!platform.workers.has(worker)) {
        return;
    }
    platform.workers.get(worker)?.kill();
    platform.network.removeServer(platform.addressOf(worker));
    platform.setWorkerState(worker, undefined);
    runAfter(6_000 + draw() * 8_000, () => {
        platform.replaceWorker(worker);
    });
};
/** Draws one or two ready workers of one failure domain. */
const drawWorkersOfOneCell = ({ cluster: { platform }, draw, pick }: SeveralCellsFaultContext): readonly string[] => {
    const entries = platform.store.rows("servers")
        .map(({ key, value }) => ({ worker: key, ...value as { readonly state: string; readonly zone: string; } }))
        .filter(({ worker, state }) => state === "ready" && platform.workers.has(worker));
    const zone = pick([...new Set(entries.map(entry => entry.zone))]);
    const ready = entries.filter(entry => entry.zone === zone).map(({ worker }) => worker);
    const count = draw() < 0.7 ? 1 : 2;
    const first = Math.floor(draw() * ready.length);
    return [...ready.slice(first), ...ready.slice(0, first)].slice(0, count);
};

/** Faults of a random day whose cells are nearly full. */
export const fullCellsFaults: readonly WeightedFault[] = [
    {
        name: "workers of one cell leave after they drained",
        weight: 8,
        inject: context => {
            for (const worker of drawWorkersOfOneCell(context)) {
                context.cluster.platform.setWorkerState(worker, "draining");
                context.runAfter(drainTime, () => {
                    remove(context, worker);
                });
            }
        },
    },
    {
        name: "workers of one cell crash",
        weight: 4,
        inject: context => {
            drawWorkersOfOneCell(context).forEach(worker => {
                remove(context, worker);
            });
        },
    },
    {
        name: "kill a holder",
        weight: 3,
        inject: ({ cluster, draw, pick, runAfter }) => {
            const holders = cluster.platform.store.rows("cells").filter(row => row.key === "holder")
                .map(row => (row.value as { readonly host?: string; }).host ?? "");
            const host = pick(holders) ?? "";
            cluster.kill(host);
            runAfter(300 + draw() * 3_000, () => {
                cluster.start(host);
            });
        },
    },
    ...severalCellsFaults.filter(({ name }) => hostFaults.has(name))
        .map(fault => ({ ...fault, weight: fault.weight * hostFaultWeight })),
];
