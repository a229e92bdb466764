import type { JobId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import type { WorkflowProgress } from "../src/ledger/workflow-progress.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import { testQueue } from "./test-queue.js";

/** Counts how often the steps of a workflow, or one of their properties, are read. */
const createCountedSteps = (
    steps: readonly Step[],
): { readonly steps: readonly Step[]; readonly take: () => number; } => {
    let looks = 0;
    const count = <Target extends object>(target: Target): Target =>
        new Proxy(target, {
            get: (from, key, receiver): unknown => {
                looks += 1;
                return Reflect.get(from, key, receiver);
            },
        });
    return {
        steps: count(steps.map(count)),
        take: () => {
            const taken = looks;
            looks = 0;
            return taken;
        },
    };
};
const chain = (length: number, changes: Partial<Step> = {}): readonly Step[] =>
    Array.from({ length }, (...[, number]) => createStep({ ...changes, after: number === 0 ? [] : [number - 1] }));

/** Looks of loading, of three passes, of one end and of one read of the progress. */
const countLooks = (
    plainSteps: readonly Step[],
    repetitions: number,
    stored?: WorkflowProgress,
    prepare: (ledger: WorkflowLedger) => void = () => undefined,
): Record<string, number> => {
    const { steps, take } = createCountedSteps(plainSteps);
    const ledger = createWorkflowLedger({
        id: "00000000000000aa" as JobId,
        queue: testQueue,
        payload: "",
        steps,
        schedule: { repetitions, firstDue: 0, interval: 0 },
        acceptedAt: 0,
    }, stored);
    const load = take();
    prepare(ledger);
    take();
    for (let pass = 0; pass < 3; pass += 1) {
        ledger.openStages(0, 0);
    }
    const passes = take();
    ledger.recordDone({ occurrence: repetitions - 1, step: 0, index: 0 });
    ledger.markStored(ledger.revision());
    const end = take();
    ledger.progress();
    ledger.absentTasks();
    ledger.returned();
    return { load, passes, end, read: take() };
};

describe("the looks at the steps of a schedule", () => {
    // Guards against placement passes of seconds, in which a holder sends no heartbeats, so that its cell goes from host to
    // host: each pass looked at all steps of all due occurrences (review/13).
    it("do not grow with the number of due occurrences", () => {
        expect(countLooks(chain(200), 21_600)).toEqual(countLooks(chain(200), 1_000));
    });

    it("do not grow with the number of occurrences that are done", () => {
        const storedOf = (done: number): WorkflowProgress => ({
            isCancelled: false,
            isFailed: false,
            hasStarted: true,
            steps: [],
            finished: [...Array(20).keys()].map((step): [number, number, number] => [step, 0, done - 1]),
            transfers: [],
        });
        expect(countLooks(chain(20), 21_600, storedOf(21_000))).toEqual(countLooks(chain(20), 21_600, storedOf(1_000)));
    });

    // Guards against a pass over all due occurrences of a step that can't open now: 5,000,000 of them took 1 s.
    it("do not grow for a long-running step that waits until changes are stored", () => {
        const steps = [createStep(), createStep({ isLasting: true })];
        const makeDirty = (ledger: WorkflowLedger): void => {
            ledger.recordDone({ occurrence: 0, step: 0, index: 0 });
        };
        expect(countLooks(steps, 5_000_000, undefined, makeDirty))
            .toEqual(countLooks(steps, 5_000, undefined, makeDirty));
    });
});
