import type { JobId, WorkerId } from "@jayfront/world";
import { expect, it } from "@jest/globals";

import { createRunController } from "../src/cell/run-controller.js";
import type { UnansweredStarts } from "../src/cell/unanswered-starts.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import type { Stage } from "../src/ledger/stage.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import { runControllerOptions } from "./run-controller-options.js";
import { testQueue } from "./test-queue.js";

const job = "00000000000000a1" as JobId;

// Guards against two runs of a task: the next holder of the cell reads its unanswered starts and does not wait for workers
// that none of them names.
it("a further start of a long-running task on record is sent only once it is stored, unless the cell was lost", async () => {
    const sent: string[] = [];
    const ledger = createWorkflowLedger({
        id: job,
        queue: testQueue,
        payload: "",
        steps: [createStep({ isLasting: true })],
        acceptedAt: 0,
    });
    const session = {
        id: "w-1" as WorkerId,
        entry: () => ({ address: "w-1:1", isDraining: false }),
        deadline: () => 1,
        start: () => {
            sent.push("start");
            return new Promise(() => undefined);
        },
    } as unknown as WorkerSession;
    const startWith = async (storeStarts: () => Promise<boolean>, signal: AbortSignal): Promise<void> => {
        const controller = createRunController(runControllerOptions({
            unansweredStarts: {
                addOverdue: () => sent.push("listed"),
                remove: () => undefined,
            } as unknown as UnansweredStarts,
            ledgerOf: () => ledger,
            sessionOf: () => session,
            isOnRecord: () => true,
            storeStarts,
            signal,
        }));
        const stage = ledger.stage({ occurrence: 0, step: 0, index: 0 }) as Stage;
        controller.start(ledger, stage, 0, session);
        await new Promise(resolve => {
            setImmediate(resolve);
        });
    };
    await startWith(() => {
        sent.push("stored");
        return Promise.resolve(true);
    }, new AbortController().signal);
    expect(sent).toEqual(["listed", "stored", "start"]);
    await startWith(() => Promise.resolve(false), AbortSignal.abort());
    expect(sent).toEqual(["listed", "stored", "start", "listed"]);
});
