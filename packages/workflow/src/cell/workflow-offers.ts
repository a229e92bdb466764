import type { CellId, JobId } from "@jayfront/world";
import type { Logger } from "pino";

import { createWorkflowLedger } from "../ledger/workflow-ledger.js";
import type { CellWorkers } from "./cell-workers.js";
import type { PlannedStart, StageScheduler } from "./stage-scheduler.js";
import type { WorkflowRoomRequest } from "./workflow-room.js";

/** Offers places of a cell to waiting workflows of other cells. */
export interface WorkflowOffers {
    /** Number of the tasks that the cell could start now, and that no earlier offer has taken the places of. */
    readonly offer: (request: WorkflowRoomRequest) => number;
    /** Records that the workflow has arrived. */
    readonly recordArrival: (job: JobId) => void;
}

/** Options of {@link createWorkflowOffers}. */
export interface WorkflowOffersOptions {
    readonly cell: CellId;
    readonly workers: CellWorkers;
    readonly scheduler: Pick<StageScheduler, "findPlaces">;
    readonly logger: Logger;
}

/** Places that were offered to a workflow. */
interface OfferedPlaces {
    readonly job: JobId;
    readonly starts: readonly PlannedStart[];
    /** Monotonic time in ms of the offer. */
    readonly at: number;
}

/** Milliseconds after which a workflow has arrived if its cell has made use of an offer. */
const offerTime = 1_000;

/** Creates offers for a cell. */
export const createWorkflowOffers = ({ cell, workers, scheduler, logger }: WorkflowOffersOptions): WorkflowOffers => {
    let offers: readonly OfferedPlaces[] = [];
    return {
        offer: ({ workflow, stepIndex, count }) => {
            const now = performance.now();
            offers = offers.filter(({ job, at }) => now - at < offerTime && job !== workflow.id);
            const ledger = createWorkflowLedger(workflow);
            const stage = ledger.stage({ occurrence: 0, step: stepIndex, index: 0 });
            if (stage === undefined) {
                return 0;
            }
            const taken = offers.flatMap(({ starts }) => starts)
                .filter(({ worker }) => workers.get(worker.session.id) === worker);
            const places = scheduler.findPlaces(ledger, stage, count, taken);
            const isEnough = places.length > 0 && (!stage.step.isGang || places.length === stage.step.count);
            if (!isEnough) {
                return 0;
            }
            const starts = places.map(worker => ({ worker, step: stage.step }));
            offers = [...offers, { job: workflow.id, starts, at: now }];
            logger.info(
                { job: workflow.id, cell, step: stepIndex, tasks: count, places: places.length },
                "places offered to a workflow of another cell",
            );
            return places.length;
        },
        recordArrival: id => {
            offers = offers.filter(({ job }) => job !== id);
        },
    };
};
