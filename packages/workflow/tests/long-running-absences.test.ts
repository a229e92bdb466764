import type { JobId, WorkerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import { Registry } from "prom-client";

import { createRun } from "../src/cell/create-run.js";
import { createLongRunningAbsences } from "../src/cell/long-running-absences.js";
import type { Run } from "../src/cell/run.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { taskName } from "../src/model/task-name.js";
import { createWorkflowMetrics } from "../src/workflow-metrics.js";
import { testQueue } from "./test-queue.js";

const job = "00000000000000a1" as JobId;
const step = createStep({ isLasting: true });

describe("the absence of a long-running task", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const setUp = () => {
        const ledger = createWorkflowLedger({
            id: job,
            queue: testQueue,
            payload: "",
            steps: [step],
            acceptedAt: Date.now(),
        });
        const position = { job, occurrence: 0, step: 0, index: 0 };
        const nextRun = (number: number): Run =>
            createRun({
                task: taskName(position),
                position,
                number,
                worker: "w-0" as WorkerId,
                ledger,
                step,
                checkpoint: "",
            });
        const metrics = createWorkflowMetrics(new Registry());
        const absences = createLongRunningAbsences({ metrics });
        /** Seconds by part, summed over all absences. */
        const sums = async (): Promise<Record<string, number>> => {
            const { values } = await metrics.absenceSeconds.get();
            return Object.fromEntries(
                values.filter(({ metricName }) => metricName?.endsWith("_sum") === true)
                    .map(({ labels, value }) => [String(labels.part), value]),
            );
        };
        return { ledger, nextRun, absences, sums };
    };

    it("is measured by its parts once the next run is confirmed", async () => {
        const { nextRun, absences, sums } = setUp();
        const lost = nextRun(1);
        jest.advanceTimersByTime(1_000);
        lost.doubtedAt = performance.now();
        jest.advanceTimersByTime(2_000);
        absences.recordEnd(lost);
        jest.advanceTimersByTime(500);
        const next = nextRun(2);
        absences.recordStart(next);
        jest.advanceTimersByTime(100);
        absences.recordConfirmation(next);
        expect(await sums()).toEqual({ detection: 1, proof: 2, room: 0.5, order: 0.1 });
        expect(absences.takeOverdue()).toEqual([]);
    });

    it("goes on while starts fail, and counts as waiting for room until the last order", async () => {
        const { nextRun, absences, sums } = setUp();
        absences.recordEnd(nextRun(1));
        const refused = nextRun(2);
        absences.recordStart(refused);
        jest.advanceTimersByTime(3_500);
        absences.recordEnd(refused);
        expect(absences.takeOverdue().map(({ lost, absentFor }) => [lost.number, absentFor])).toEqual([[1, 3_500]]);
        const next = nextRun(3);
        absences.recordStart(next);
        absences.recordConfirmation(next);
        expect(await sums()).toEqual({ detection: 0, proof: 0, room: 3.5, order: 0 });
    });

    it("is overdue after three seconds, again after two more, and not once the workflow is settled", () => {
        const { ledger, nextRun, absences } = setUp();
        absences.recordEnd(nextRun(1));
        const overdueCounts: number[] = [];
        for (let second = 0; second < 6; second += 1) {
            overdueCounts.push(absences.takeOverdue().length);
            jest.advanceTimersByTime(1_001);
        }
        expect(overdueCounts).toEqual([0, 0, 0, 1, 0, 1]);
        ledger.recordCancellation();
        jest.advanceTimersByTime(5_000);
        expect(absences.takeOverdue()).toEqual([]);
    });
});
