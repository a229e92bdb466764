import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import type { Step } from "../src/model/step.js";
import type { TestCell } from "./test-cell.js";
import { createTestCell } from "./test-cell.js";

const tick = 50;
const runTime = 1_000;
/** Milliseconds that a run on another rack loses. */
const loss = 500;
const hot: Partial<Step> = { cpu: 8_000, preferredRack: "hot" };

describe("tasks whose rack is full while other racks have room", () => {
    let cell: TestCell;
    beforeEach(() => {
        jest.useFakeTimers();
        cell = createCell(1.5);
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    /** Four places on the rack `hot`, and many elsewhere. */
    const createCell = (farRunFactor: number): TestCell =>
        createTestCell({ workers: 40, cpu: 16_000, runTime, farRunFactor, rackOf: n => n < 2 ? "hot" : "other" });
    const rackOf = (ledger: WorkflowLedger): string | undefined => {
        const [run] = cell.runRegistry.ofWorkflow(ledger.workflow.id);
        return run === undefined ? undefined : cell.workers.get(run.worker)?.session.entry().rack;
    };
    const countOn = (rack: string | undefined, ledgers: readonly WorkflowLedger[]): number =>
        ledgers.filter(ledger => rackOf(ledger) === rack).length;
    const endOldRuns = (): void => {
        for (const run of cell.runRegistry.all()) {
            const isNear = cell.workers.get(run.worker)?.session.entry().rack === "hot";
            if (!run.step.isLasting && performance.now() - run.startedAt >= (isNear ? runTime : runTime + loss)) {
                cell.endRun(run, "done");
            }
        }
    };
    const advance = (time: number, arrive: () => void = () => undefined): void => {
        for (let passed = 0; passed < time; passed += tick) {
            jest.advanceTimersByTime(tick);
            endOldRuns();
            arrive();
            cell.scheduler.runPass();
        }
    };
    /** Keeps the rack full for `time` ms with a task each 250 ms, as many as it can run. */
    const fill = (time: number, step: Partial<Step> = {}): WorkflowLedger[] => {
        const ledgers: WorkflowLedger[] = [];
        let since = 0;
        advance(time, () => {
            since += tick;
            if (since % 250 === 0) {
                ledgers.push(cell.submit({}, [{ ...hot, ...step }]));
            }
        });
        return ledgers;
    };
    const submit = (step: Partial<Step> = {}, queue = {}): WorkflowLedger => {
        const ledger = cell.submit(queue, [{ ...hot, ...step }]);
        cell.scheduler.runPass();
        return ledger;
    };
    const waited = async (outcome: string): Promise<number> =>
        (await cell.metrics.nearWaits.get()).values.find(({ labels }) => labels.outcome === outcome)?.value ?? 0;

    // Guards against slower runs for want of a few hundred milliseconds, and against a wait that passes for lack of room.
    it("wait while a place is expected soon, and leave the other places to others", async () => {
        fill(4_000);
        const ledger = submit();
        const other = submit({ preferredRack: "none" });
        expect([rackOf(ledger), rackOf(other), ledger.openStages(0, 0)[0]?.record.noRoomSince])
            .toEqual([undefined, "other", undefined]);
        advance(loss);
        expect([rackOf(ledger), await waited("near")]).toEqual(["hot", 1]);
    });

    // Guards against a hot rack: of a hundred tasks that come at once, each waited as if it were the first.
    it("start elsewhere at once beyond those whose turn comes before the slower run has lost as much", () => {
        fill(4_000);
        const ledgers = [...Array(60).keys()].map(() => cell.submit({}, [hot]));
        cell.scheduler.runPass();
        expect(countOn(undefined, ledgers)).toBeGreaterThan(0);
        expect(countOn(undefined, ledgers)).toBeLessThanOrEqual(4 * loss / runTime);
        expect(countOn("other", ledgers)).toBeGreaterThanOrEqual(56);
    });

    // Guards against starvation: more urgent tasks take each place on the rack that becomes free.
    it("start elsewhere after the bound of their wait", async () => {
        fill(4_000);
        const ledger = submit({}, { priority: 1 });
        expect(rackOf(ledger)).toBeUndefined();
        advance(loss + tick, () => cell.submit({}, [hot]));
        expect([rackOf(ledger), await waited("near")]).toEqual(["other", expect.any(Number)]);
    });

    // Guards against a workflow that a wait makes late, also where its former holder has let it wait: a new holder waits
    // anew, but by the time of acceptance.
    it("start at once where a slower run is just in time", () => {
        fill(4_000);
        expect(rackOf(submit({}, { slackFactor: 1, latencyTarget: loss + 250 }))).toBe("other");
        const earlier = cell.submit({}, [hot]);
        jest.advanceTimersByTime(800);
        cell.scheduler.runPass();
        expect(rackOf(earlier)).toBe("other");
    });

    // Guards against waits for what isn't known: a new holder has seen no end, workers of the rack have crashed, or the
    // cell has none of it.
    it("start at once where no end has been seen on the rack", () => {
        [...Array(4).keys()].forEach(() => submit());
        for (let crash = 0; crash < 3; crash += 1) {
            [...cell.runRegistry.all()].forEach(run => {
                cell.endRun(run, "lost");
            });
            cell.scheduler.runPass();
        }
        expect([rackOf(submit()), rackOf(submit({ preferredRack: "none" }))]).toEqual(["other", "other"]);
    });

    // Guards against waits of long-running tasks, which users miss while they wait, and of tasks that racks don't slow.
    it("don't wait if they are long-running, or racks make no difference", () => {
        fill(4_000);
        expect(rackOf(submit({ isLasting: true }, { latencyTarget: 9_000 }))).toBe("other");
        cell = createCell(1);
        fill(4_000);
        expect(rackOf(submit())).toBe("other");
    });

    // Guards against a holder that inspects all workers again for each task that waits.
    it("search for a worker once in a pass", () => {
        const spare = { usesSpareCpu: true, image: "x" };
        fill(4_000, spare);
        const ledgers = [...Array(3).keys()].map(() => cell.submit({}, [{ ...hot, ...spare, cpu: 4_000 }]));
        cell.counts.runTimes = 0;
        cell.scheduler.runPass();
        expect(countOn(undefined, ledgers)).toBe(3);
        expect(cell.counts.runTimes).toBeLessThan(2 * cell.workers.size);
    });
});

// Guards against a gang that runs slower on several racks though one would have had room for it at once.
describe("a gang that needs one rack", () => {
    it("waits for room on one rack within the bound, then starts on several", () => {
        jest.useFakeTimers();
        const cell = createTestCell({
            workers: 4,
            cpu: 16_000,
            runTime,
            farRunFactor: 1.5,
            rackOf: n => n < 2 ? "a" : "b",
        });
        const racksOf = (ledger: WorkflowLedger): Set<string | undefined> =>
            new Set(
                cell.runRegistry.ofWorkflow(ledger.workflow.id).map(({ worker }) =>
                    cell.workers.get(worker)?.session.entry().rack
                ),
            );
        const end = (worker: string): void => {
            [...cell.runRegistry.all()].filter(run => run.worker === worker).forEach(run => {
                cell.endRun(run, "done");
            });
        };
        for (let round = 0; round < 4; round += 1) {
            [...cell.workers.keys()].forEach(end);
            cell.submit({}, [{ count: 16, cpu: 4_000 }]);
            cell.scheduler.runPass();
        }
        const gang: Partial<Step> = { count: 2, cpu: 16_000, isGang: true, needsOneRack: true };
        end("w-0");
        end("w-2");
        const first = cell.submit({}, [gang]);
        cell.scheduler.runPass();
        expect(racksOf(first)).toEqual(new Set());
        end("w-1");
        cell.scheduler.runPass();
        expect(racksOf(first)).toEqual(new Set(["a"]));
        end("w-0");
        const second = cell.submit({}, [gang]);
        cell.scheduler.runPass();
        expect(racksOf(second)).toEqual(new Set());
        jest.advanceTimersByTime(loss);
        cell.scheduler.runPass();
        expect(racksOf(second)).toEqual(new Set(["a", "b"]));
        jest.useRealTimers();
    });
});
