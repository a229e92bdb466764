import type { FaultContext } from "./fault-context.js";
import { randomFaults } from "./random-faults.js";

const replaceOne = ({ cluster: { platform } }: FaultContext, worker: string): void => {
    if (platform.workers.has(worker)) {
        platform.replaceWorker(worker);
    }
};
const drawWorker = ({ cluster, pick }: FaultContext): string => pick([...cluster.platform.workers.keys()]) ?? "";

/** Faults of days on which other workers come to the addresses of those that end, beside those of all days. */
export const replacementFaults: typeof randomFaults = {
    ...randomFaults,
    "put another worker at a worker's address": play => {
        replaceOne(play, drawWorker(play));
    },
    "put another worker at a worker's address, behind a cut": play => {
        const { cluster, draw, runAfter: later } = play;
        const worker = drawWorker(play);
        const address = cluster.platform.addressOf(worker);
        const heal = cluster.platform.network.addFault({
            matches: (...[, call]) => call.address === address,
            action: "cut",
        });
        later(draw() * 2_000, () => {
            replaceOne(play, worker);
        });
        later(2_000 + draw() * 4_000, heal);
    },
};
