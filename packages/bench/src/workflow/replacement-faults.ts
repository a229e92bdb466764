import type { FaultContext } from "./fault-context.js";
import { randomFaults } from "./random-faults.js";

const replaceIfPresent = ({ cluster: { platform } }: FaultContext, worker: string): void => {
    if (platform.workers.has(worker)) {
        platform.replaceWorker(worker);
    }
};
const drawWorker = ({ cluster, pick }: FaultContext): string => pick([...cluster.platform.workers.keys()]) ?? "";

/** {@link randomFaults}, and faults that put a new worker at the address of another one. */
export const replacementFaults: typeof randomFaults = {
    ...randomFaults,
    "replace a worker by another at its address": context => {
        replaceIfPresent(context, drawWorker(context));
    },
    "replace a worker by another at its address, while it is cut off": context => {
        const { cluster, draw, runAfter } = context;
        const worker = drawWorker(context);
        const address = cluster.platform.addressOf(worker);
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.address === address,
            action: "cut",
        });
        runAfter(draw() * 2_000, () => {
            replaceIfPresent(context, worker);
        });
        runAfter(2_000 + draw() * 4_000, heal);
    },
};
