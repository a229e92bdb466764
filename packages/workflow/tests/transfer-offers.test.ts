import type { FailureDomainId, JobId, WorkerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import type { CellWorker } from "../src/cell/cell-workers.js";
import { createResourceAccount } from "../src/cell/resource-account.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import type { TransferOffers } from "../src/cell/transfer-offers.js";
import { createTransferOffers } from "../src/cell/transfer-offers.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import type { Capacity } from "../src/model/worker-entry.js";
import { testQueue } from "./test-queue.js";

const capacity: Capacity = { cpu: 16_000, memory: 64_000, accelerators: 2 };
const workerCount = 3;
const job = "00000000000000aa" as JobId;

const createWorker = (id: WorkerId): CellWorker => {
    const entry = {
        id,
        address: `${id}:1`,
        service: testQueue.service,
        failureDomain: "east-a" as FailureDomainId,
        rack: "r-1",
        labels: [],
        capacity,
        isDraining: false,
        bornAt: 0,
    };
    const session: Partial<WorkerSession> = { id, entry: () => entry, contact: () => "known", deadline: () => 1 };
    return {
        session: session as WorkerSession,
        resources: createResourceAccount(capacity),
        isOnRoster: true,
        unlistedSince: undefined,
        drainingSince: undefined,
        isDomainOpen: () => true,
        isEvacuated: () => false,
        stop: () => undefined,
    };
};
const createIdleCell = (): TransferOffers => {
    const ids = [...Array(workerCount).keys()].map(number => `w-${String(number)}` as WorkerId);
    return createTransferOffers({
        workers: new Map(ids.map(id => [id, createWorker(id)])),
        runRegistry: createRunRegistry(),
        capacity: () => ({
            freeByWorker: ids.map(() => capacity),
            capacityCpu: workerCount * capacity.cpu,
            waitingCpu: 0,
        }),
    });
};
/** Number of tasks of the step that the cell offers to run. */
const offerFor = (step: Partial<Step>, offers = createIdleCell()): number =>
    offers.offer({
        job,
        service: testQueue.service,
        stepIndex: 0,
        step: createStep({ isLasting: true, ...step }),
        count: 100,
        isPreferred: false,
    });

describe("a cell's offers for tasks of other cells", () => {
    // One place stays free in the cell.
    it("count the places on its workers", () => {
        expect(offerFor({ cpu: 4_000 })).toBe(11);
        expect(offerFor({ memory: 32_000 })).toBe(5);
        expect(offerFor({ perWorkerLimit: 1 })).toBe(2);
    });

    // Guards against tasks that go back and forth: they are accepted for accelerators that the workers don't have.
    it("count the accelerators of its workers", () => {
        expect(offerFor({ accelerators: 1 })).toBe(5);
    });

    // Guards against room that is deducted twice after a transfer, so that the next tasks wait: as offered, and as used.
    it("deduct what was offered until the tasks have arrived", () => {
        const offers = createIdleCell();
        offerFor({ cpu: 4_000 }, offers);
        expect(offerFor({ cpu: 4_000 }, offers)).toBe(0);
        offers.recordArrival(job);
        expect(offerFor({ cpu: 4_000 }, offers)).toBe(11);
    });
});
