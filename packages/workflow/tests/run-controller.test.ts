import type { JobId, WorkerId } from "@jayfront/world";
import { createStopSignal } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";
import pino from "pino";

import { createRunController } from "../src/cell/run-controller.js";
import { createRunRegistry } from "../src/cell/run-registry.js";
import type { UnansweredStarts } from "../src/cell/unanswered-starts.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { taskName } from "../src/model/task-name.js";
import { testQueue } from "./test-queue.js";

const job = "00000000000000a1" as JobId;

describe("the end of a run that an earlier holder of the cell started", () => {
    // Guards against long-running tasks that wait as if they had never run, behind urgent work and its reserve, because
    // their run ended while the cell had no holder.
    it.each(["failed", "stopped"] as const)(
        "lets a long-running task start again as one that has run (%s)",
        outcome => {
            const ledger = createWorkflowLedger({
                id: job,
                queue: testQueue,
                payload: "",
                steps: [createStep({ count: 2, isLasting: true })],
                acceptedAt: Date.now(),
            });
            const position = { job, occurrence: 0, step: 0, index: 1 };
            const controller = createRunController({
                epoch: 2,
                unansweredStarts: {} as UnansweredStarts,
                runRegistry: createRunRegistry(),
                writer: { request: () => undefined },
                processDelay: () => 0,
                processors: 1,
                logger: pino({ level: "silent" }),
                ledgerOf: id => id === job ? ledger : undefined,
                sessionOf: () => undefined,
                onRunAdded: () => undefined,
                onRunConfirmed: () => undefined,
                onRunRemoved: () => undefined,
                onChange: () => undefined,
                onCrash: () => undefined,
                workerCrashes: { record: () => [] },
                ticketOf: () => undefined,
                signal: createStopSignal().signal,
            });
            const session = { id: "w-0" as WorkerId, recordEnds: () => undefined } as Partial<WorkerSession>;
            const end = { number: 1, task: taskName(position), run: 3, outcome, checkpoint: "" };
            const report = { clock: 0, bornAt: 0, running: [], ended: [end], hasAllEnds: true };
            controller.applyReport(session as WorkerSession, report, 0, true);
            const record = ledger.stage(position)?.record;
            expect([...record?.started ?? []]).toEqual([1]);
            expect([...record?.waiting ?? []].sort()).toEqual([0, 1]);
        },
    );
});
