import type { ServiceId, WorkerId } from "@jayfront/world";

import type { Step } from "../model/step.js";
import type { RoomAccount } from "./room-account.js";
import type { WorkerSession } from "./worker-session.js";

/** A worker of a cell: the session that looks after it and the account of its room. */
export interface CellWorker {
    readonly session: WorkerSession;
    readonly room: RoomAccount;
    /** Whether a stored roster names it, so that a later holder knows where tasks may run. */
    isOnRoster: boolean;
    /** Steady ms since which the platform does not list it; undefined while it does. */
    unlistedSince: number | undefined;
    /** Steady ms since which the worker is known to leave; undefined while it does not. */
    drainingSince: number | undefined;
    /** Ends the session. */
    readonly stop: () => void;
}

/** Milliseconds for which a worker that answers is used although it is not listed; entries may lapse with the store. */
const unlistedUse = 2_500;

/** Whether the worker may get new tasks of a service, as far as that does not depend on their size. */
export const isOpenTo = (worker: CellWorker, service: ServiceId): boolean => {
    const { session } = worker;
    const entry = session.entry();
    const isListed = worker.unlistedSince === undefined || performance.now() - worker.unlistedSince < unlistedUse;
    return entry.service === service
        && worker.isOnRoster
        && isListed
        && !entry.isDraining
        && session.deadline() !== undefined;
};

/** Whether a task of the step fits the worker now, by label and room. */
export const canRunStep = ({ session, room }: CellWorker, step: Step): boolean =>
    room.fits(step) && (step.requiredLabel === undefined || session.entry().labels.includes(step.requiredLabel));

/** Whether the worker may get new tasks of a step. */
export const mayStartOn = (worker: CellWorker, service: ServiceId, step: Step): boolean =>
    canRunStep(worker, step) && isOpenTo(worker, service);

/** Workers of a cell by id. */
export type CellWorkers = Map<WorkerId, CellWorker>;
