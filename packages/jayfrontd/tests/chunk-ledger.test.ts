import type { BatchWork } from "@jayfront/policy";
import type { Chunk, Job } from "@jayfront/world";
import { cellId, failureDomainId, jobId, taskId, workerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { createChunkLedger } from "../src/cell/chunk-ledger.js";

const job = { id: jobId("job-1"), cancelled: false } as Job;
const work = { key: "job-1/0" } as BatchWork;
const chunk: Chunk = {
    job: job.id,
    number: 0,
    cell: cellId(failureDomainId("one"), 0),
    first: 0,
    count: 4,
    finished: [],
    failed: [],
    cancelled: [],
    inDoubt: [],
    intentUpTo: 0,
    evicted: {},
};
const acknowledgementOf = (
    index: number,
): Parameters<ReturnType<typeof createChunkLedger>["acknowledgeAfterWrite"]>[0] => ({
    worker: workerId("w1"),
    attempt: { task: taskId(job.id, index), attempt: 1 },
});

describe("chunk ledger", () => {
    it("releases only acknowledgements whose outcomes the write includes", () => {
        const ledger = createChunkLedger(chunk, 1, job, work);
        ledger.settle(0, "finished");
        ledger.acknowledgeAfterWrite(acknowledgementOf(0));
        const write = ledger.beginWrite();
        ledger.settle(1, "finished");
        ledger.acknowledgeAfterWrite(acknowledgementOf(1));
        expect(write.value.finished).toEqual([[0, 1]]);
        expect(write.complete(2)).toEqual([acknowledgementOf(0)]);
        expect(ledger.isDirty()).toBe(true);
        expect(ledger.beginWrite().complete(3)).toEqual([acknowledgementOf(1)]);
        expect(ledger.isDirty()).toBe(false);
    });

    it("keeps the first outcome of a task", () => {
        const ledger = createChunkLedger(chunk, 1, job, work);
        ledger.settle(2, "finished");
        ledger.settle(2, "failed");
        expect(ledger.chunk()).toMatchSnapshot();
    });

    it("removes a task from those in doubt when it gets an outcome", () => {
        const ledger = createChunkLedger(chunk, 1, job, work);
        ledger.settle(1, "inDoubt");
        expect(ledger.openIndices()).toEqual([0, 2, 3]);
        ledger.settle(1, "finished");
        expect(ledger.chunk().inDoubt).toEqual([]);
        expect(ledger.isSettled()).toBe(false);
    });

    it("allows starts up to a raised intent only once the intent is durable", () => {
        const ledger = createChunkLedger(chunk, 1, job, work);
        ledger.raiseIntent(2);
        expect(ledger.durableIntent()).toBe(0);
        const write = ledger.beginWrite();
        ledger.raiseIntent(4);
        write.complete(2);
        expect(ledger.durableIntent()).toBe(2);
    });
});
