import type { ServiceId, WorkerId } from "@jayfront/world";

import type { Step } from "../model/step.js";
import type { ResourceAccount } from "./resource-account.js";
import type { WorkerSession } from "./worker-session.js";

/** A worker of a cell, with its session and the account of its free and reserved resources. */
export interface CellWorker {
    readonly session: WorkerSession;
    readonly resources: ResourceAccount;
    /** Whether the stored roster names the worker; else it gets no tasks, since a later holder would miss it. */
    isOnRoster: boolean;
    /** Monotonic time in ms since which the platform does not list the worker; undefined while it is listed. */
    unlistedSince: number | undefined;
    /** Monotonic time in ms at which the worker was first seen draining; undefined while it is not. */
    drainingSince: number | undefined;
    /** Whether a start may be sent to the worker's failure domain now; see `Evacuations.mayStartIn`. */
    readonly isDomainOpen: () => boolean;
    /** Whether the worker's failure domain is to be evacuated. */
    readonly isEvacuated: () => boolean;
    /** Ends the session. */
    readonly stop: () => void;
}

/** Milliseconds for which a worker that answers is used after it was last listed; a store outage can expire entries. */
const unlistedUseTime = 2_500;

/** Whether the platform lists the worker, or has until recently. */
export const isListed = ({ unlistedSince }: CellWorker): boolean =>
    unlistedSince === undefined || performance.now() - unlistedSince < unlistedUseTime;

/** The workers that count for the cell's capacity: those in contact that are neither draining nor evacuated. */
export const usableWorkers = (workers: Iterable<CellWorker>): readonly CellWorker[] =>
    [...workers].filter(({ session, isEvacuated }) =>
        session.contact() === "known" && !session.entry().isDraining && !isEvacuated()
    );

/** Whether the worker may get new tasks of a service, regardless of their resource requirements. */
export const isOpenTo = (worker: CellWorker, service: ServiceId): boolean => {
    const { session } = worker;
    const entry = session.entry();
    return entry.service === service
        && worker.isOnRoster
        && worker.isDomainOpen()
        && isListed(worker)
        && !entry.isDraining
        && session.deadline() !== undefined;
};

/** Whether the worker has the label and the free resources that a task of the step requires. */
export const canRunStep = ({ session, resources }: CellWorker, step: Step): boolean =>
    resources.fits(step) && (step.requiredLabel === undefined || session.entry().labels.includes(step.requiredLabel));

/** Whether the worker may get a new task of the step now; combines {@link canRunStep} and {@link isOpenTo}. */
export const mayStartOn = (worker: CellWorker, service: ServiceId, step: Step): boolean =>
    canRunStep(worker, step) && isOpenTo(worker, service);

/** Workers of a cell by id. */
export type CellWorkers = Map<WorkerId, CellWorker>;
