import type { Platform, PlatformError, WorkerStatus } from "@jayfront/platform";
import type { EndedTask, Fence, Inventory, Worker, WorkerId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Result } from "true-myth";

import type { Settings } from "../settings.js";
import type { HeldWorker } from "./held-worker.js";

/** What the cell does with news of a worker. */
export interface WorkerEvents {
    readonly onInventory: (held: HeldWorker, inventory: Inventory) => void;
    readonly onStatus: (held: HeldWorker, status: WorkerStatus, sentAt: number) => void;
    readonly onUnreachable: (held: HeldWorker) => void;
    /** The worker is proven gone: nothing that it ran can still run. */
    readonly onGone: (held: HeldWorker) => void;
    /** The worker obeys a higher epoch: the cell is lost. */
    readonly onDisplaced: (epoch: number) => void;
}

/** Options of {@link maintainWorkerLease}. */
export interface MaintainWorkerLeaseOptions {
    readonly held: HeldWorker;
    readonly platform: Platform;
    readonly timing: Settings["timing"];
    /** Host and incarnation under which the lease is taken. */
    readonly holder: string;
    readonly events: WorkerEvents;
    /** The worker's latest description on the live list. */
    readonly findListed: (worker: WorkerId) => Worker | undefined;
    /** Monotonic milliseconds since which the live list has not named the worker. */
    readonly unlistedSince: (worker: WorkerId) => number | undefined;
    readonly signal: AbortSignal;
}

const retryInterval = 500;
/** Milliseconds added to the task lease before a worker counts as gone. */
const goneMargin = 1_000;

/** The fence that a refusal names as current, as in `stale-fence 3.1`. */
const refusedBy = (error: PlatformError): Fence | undefined => {
    const [, epoch, term] = /^stale-fence (\d+)\.(\d+)$/.exec(error.code ?? "") ?? [];
    return epoch === undefined || term === undefined ? undefined : { epoch: Number(epoch), term: Number(term) };
};

const latestEnd = (known: number, ended: readonly EndedTask[]): number =>
    Math.max(known, ...ended.map(entry => entry.sequence));

/** Adopts a worker and keeps its lease until `signal` aborts or the worker is proven gone. */
export const maintainWorkerLease = async (options: MaintainWorkerLeaseOptions): Promise<void> => {
    const { held, platform, timing, holder, events, signal } = options;
    const { epoch } = held.fence;

    const noteRefusal = (error: PlatformError): void => {
        const current = refusedBy(error);
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
        return since !== undefined && performance.now() - since >= timing.taskLease + goneMargin;
    };
    const noteFailure = (error: PlatformError): void => {
        held.needsAdoption = true;
        if (error.kind === "refused") {
            noteRefusal(error);
        }
        if (held.isReachable) {
            held.isReachable = false;
            events.onUnreachable(held);
        }
    };
    const adopt = async (): Promise<Result<Inventory, PlatformError>> => {
        if (held.wasAdopted) {
            // The next term turns away whatever an earlier call may still have on its way.
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
            noteFailure(inventory.error);
            if (held.wasAdopted && held.fence.epoch === fenceBefore.epoch && inventory.error.kind === "unavailable") {
                held.fence = fenceBefore;
            }
            return;
        }
        held.wasAdopted = true;
        held.needsAdoption = false;
        held.isReachable = true;
        // An inventory starts anew: it names all ends, also those of a new incarnation.
        held.endedAfter = latestEnd(0, inventory.value.ended);
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
            noteFailure(status.error);
            return;
        }
        held.acknowledged = held.acknowledged.filter(attempt => !acknowledged.includes(attempt));
        held.endedAfter = latestEnd(held.endedAfter, status.value.ended);
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
        await sleep(held.needsAdoption ? retryInterval : timing.renewal, signal);
    }
};
