import type { Platform, PlatformError, WorkerStatus } from "@jayfront/platform";
import type { EndedTask, Fence, Inventory, Worker, WorkerId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Result } from "true-myth";

import type { Settings } from "../settings.js";
import type { HeldWorker } from "./held-worker.js";

/** Callbacks for changes of a worker's state. */
export interface WorkerEvents {
    /** The worker was adopted. */
    readonly onInventory: (held: HeldWorker, inventory: Inventory) => void;
    /** The lease was renewed; `sentAt` is the monotonic time in milliseconds at which the renewal was sent. */
    readonly onStatus: (held: HeldWorker, status: WorkerStatus, sentAt: number) => void;
    /** An adoption or renewal failed; not called again until one has succeeded. */
    readonly onUnreachable: (held: HeldWorker) => void;
    /** The worker is proven gone: none of its tasks can still be running. */
    readonly onGone: (held: HeldWorker) => void;
    /** The worker has accepted a higher epoch, so another host holds the cell. */
    readonly onDisplaced: (epoch: number) => void;
}

/** Options of {@link maintainWorkerLease}. */
export interface MaintainWorkerLeaseOptions {
    readonly held: HeldWorker;
    readonly platform: Platform;
    readonly timing: Settings["timing"];
    /** `<host>/<incarnation>`, under which the lease is taken. */
    readonly holder: string;
    readonly events: WorkerEvents;
    /** The worker's current entry of the live list. */
    readonly findListed: (worker: WorkerId) => Worker | undefined;
    /** Monotonic time in milliseconds since which the worker is missing from the live list; undefined while listed. */
    readonly unlistedSince: (worker: WorkerId) => number | undefined;
    readonly signal: AbortSignal;
}

/** Interval between attempts to adopt a worker. */
const retryIntervalMs = 500;
/** Time beyond the task lease after which an unreachable worker that is not on the live list counts as gone. */
const goneMarginMs = 1_000;

/** The worker's current fence as given by a refusal: `stale-fence 3.1` stands for epoch 3, term 1. */
const currentFenceOf = (error: PlatformError): Fence | undefined => {
    const [, epoch, term] = /^stale-fence (\d+)\.(\d+)$/.exec(error.code ?? "") ?? [];
    return epoch === undefined || term === undefined ? undefined : { epoch: Number(epoch), term: Number(term) };
};

const latestSequence = (previous: number, ended: readonly EndedTask[]): number =>
    Math.max(previous, ...ended.map(entry => entry.sequence));

/** Adopts a worker and renews its lease until `signal` aborts or the worker is proven gone. */
export const maintainWorkerLease = async (options: MaintainWorkerLeaseOptions): Promise<void> => {
    const { held, platform, timing, holder, events, signal } = options;
    const { epoch } = held.fence;

    const applyRefusal = (error: PlatformError): void => {
        const current = currentFenceOf(error);
        if (current === undefined) {
            return;
        }
        if (current.epoch > epoch) {
            events.onDisplaced(current.epoch);
        }
        else if (current.epoch === epoch && current.term >= held.fence.term) {
            held.fence = { epoch, term: current.term + 1 };
        }
    };
    const isGone = (): boolean => {
        const since = options.unlistedSince(held.worker.id);
        return since !== undefined && performance.now() - since >= timing.taskLease + goneMarginMs;
    };
    const handleFailure = (error: PlatformError): void => {
        held.needsAdoption = true;
        if (error.kind === "refused") {
            applyRefusal(error);
        }
        if (held.isReachable) {
            held.isReachable = false;
            events.onUnreachable(held);
        }
    };
    const adopt = async (): Promise<Result<Inventory, PlatformError>> => {
        if (held.wasAdopted) {
            // With the next term the worker refuses earlier calls that are still in flight.
            held.fence = { epoch, term: held.fence.term + 1 };
        }
        return platform.workers.adopt(held.worker, {
            fence: held.fence,
            holder,
            lease: timing.lease,
            taskLease: timing.taskLease,
        });
    };
    const tryAdoption = async (): Promise<void> => {
        const fenceBefore = held.fence;
        const inventory = await adopt();
        if (signal.aborted) {
            return;
        }
        if (inventory.isErr) {
            handleFailure(inventory.error);
            if (held.wasAdopted && held.fence.epoch === fenceBefore.epoch && inventory.error.kind === "unavailable") {
                // The adoption took no effect, so the worker still has the fence from before.
                held.fence = fenceBefore;
            }
            return;
        }
        held.wasAdopted = true;
        held.needsAdoption = false;
        held.isReachable = true;
        // An inventory lists all unacknowledged ends, and a new incarnation counts its ends from 1 again.
        held.endedAfter = latestSequence(0, inventory.value.ended);
        events.onInventory(held, inventory.value);
    };
    const renew = async (): Promise<void> => {
        const sentAt = performance.now();
        const acknowledged = held.acknowledged;
        const status = await platform.workers.renew(held.worker, {
            fence: held.fence,
            acknowledged,
            endedAfter: held.endedAfter,
            reportsFrom: held.reportsFrom,
        });
        if (signal.aborted) {
            return;
        }
        if (status.isErr) {
            handleFailure(status.error);
            return;
        }
        held.acknowledged = held.acknowledged.filter(attempt => !acknowledged.includes(attempt));
        held.endedAfter = latestSequence(held.endedAfter, status.value.ended);
        held.reportsFrom = Math.max(held.reportsFrom, ...status.value.reports.map(report => report.sequence + 1));
        events.onStatus(held, status.value, sentAt);
    };
    while (!signal.aborted) {
        held.worker = options.findListed(held.worker.id) ?? held.worker;
        if (held.needsAdoption) {
            await tryAdoption();
        }
        else {
            await renew();
        }
        if (!held.isReachable && isGone()) {
            events.onGone(held);
            return;
        }
        await sleep(held.needsAdoption ? retryIntervalMs : timing.renewal, signal);
    }
};
