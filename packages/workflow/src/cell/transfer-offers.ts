import type { JobId } from "@jayfront/world";

import type { LongRunningCapacity } from "../policy/long-running-capacity.js";
import { taskCountOn } from "../policy/task-count-on.js";
import { transferCapacity } from "../policy/transfer-capacity.js";
import type { CellWorker, CellWorkers } from "./cell-workers.js";
import { mayStartOn } from "./cell-workers.js";
import type { RunRegistry } from "./run-registry.js";
import type { TransferRoomRequest } from "./transfer-room.js";

/** Offers room of this cell to cells that have none for their long-running tasks. */
export interface TransferOffers {
    /** Number of tasks that this cell offers to run; the room is kept for them for a short time. */
    readonly offer: (request: TransferRoomRequest) => number;
    /** Records that tasks of the workflow have arrived, which take the offered room themselves from now on. */
    readonly recordArrival: (job: JobId) => void;
}

/** Options of {@link createTransferOffers}. */
export interface TransferOffersOptions {
    readonly workers: CellWorkers;
    readonly runRegistry: RunRegistry;
    readonly capacity: () => LongRunningCapacity;
}

/** Milliseconds after which offered tasks have arrived if the other cell has transferred them. */
const offerTime = 1_500;

/** Creates offers for a cell. */
export const createTransferOffers = (
    { workers, runRegistry, capacity }: TransferOffersOptions,
): TransferOffers => {
    let offers: { readonly job: JobId; readonly cpu: number; readonly at: number; }[] = [];

    const placesOn = (worker: CellWorker, { job, service, stepIndex, step }: TransferRoomRequest): number => {
        if (!mayStartOn(worker, service, step)) {
            return 0;
        }
        const { resources } = worker;
        const present = step.perWorkerLimit === undefined
            ? 0
            : [...runRegistry.ofWorker(worker.session.id)].filter(({ position }) =>
                position.job === job && position.step === stepIndex
            ).length;
        return Math.min(
            (step.perWorkerLimit ?? Infinity) - present,
            taskCountOn({ cpu: resources.freeCpu(), memory: resources.freeMemory() }, step),
            step.accelerators === 0 ? Infinity : Math.floor(resources.freeAccelerators() / step.accelerators),
        );
    };
    return {
        offer: request => {
            const now = performance.now();
            offers = offers.filter(({ at }) => now - at < offerTime);
            const { freeByWorker, capacityCpu, waitingCpu } = capacity();
            const room = transferCapacity(request.step, {
                placesByWorker: [...workers.values()].map(worker => placesOn(worker, request)),
                freeCpu: freeByWorker.reduce((sum, { cpu }) => sum + cpu, 0),
                capacityCpu,
                waitingCpu,
                offeredCpu: offers.reduce((sum, { cpu }) => sum + cpu, 0),
            }, request.isPreferred);
            const count = Math.min(request.count, room);
            if (count > 0) {
                offers.push({ job: request.job, cpu: count * request.step.cpu, at: now });
            }
            return count;
        },
        recordArrival: job => {
            offers = offers.filter(offer => offer.job !== job);
        },
    };
};
