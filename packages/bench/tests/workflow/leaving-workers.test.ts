import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds from the start until the cluster serves requests. */
const warmUp = 3_000;
/** Milliseconds from a worker's announcement that it drains until it is gone. */
const drainTime = 9_000;
/** Milliseconds from the first such announcement until other tasks end and make room. */
const roomDelay = 5_000;
/** Milliseconds for which a long-running task may be without a run although its cell has room for it. */
const longestAbsence = 3_000;
/** The same after a worker has crashed: its leases, of 6 s, have to expire first. */
const longestAbsenceAfterCrash = 9_000;
/** Millicores of a task; a worker has room for four. */
const taskCpu = 4_000;
const tasksPerWorker = 4;
const workerCount = 10;

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

describe("long-running tasks of workers that leave a cell", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({
            hosts: { "east-a": 3 },
            workers: { "east-a": workerCount },
            cpuOf: () => taskCpu,
            drainTime,
        });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });
    const submit = async (number: number, count: number): Promise<void> => {
        const [host = ""] = cluster.hosts.keys();
        const answer = cluster.submit(host, idOf(number), [{ count, cpu: taskCpu, isLasting: true }], {
            isLasting: true,
        });
        await time.advance(300);
        expect((await answer).kind).toBe("accepted");
    };
    const cancel = async (number: number): Promise<void> => {
        const [host] = cluster.hosts.values();
        await host?.router.cancel(idOf(number) as JobId);
    };
    const runningTasks = (number: number): string[] =>
        [...cluster.platform.workers.values()].flatMap(worker => worker.running())
            .filter(task => task.startsWith(idOf(number)));
    const tasksOn = (worker: string): readonly string[] => cluster.platform.workers.get(worker)?.running() ?? [];
    const busiestWorkers = (number: number, count: number): string[] =>
        [...cluster.platform.workers.keys()]
            .sort((left, right) =>
                tasksOn(right).filter(task => task.startsWith(idOf(number))).length
                - tasksOn(left).filter(task => task.startsWith(idOf(number))).length
            )
            .slice(0, count);
    const crash = (worker: string): void => {
        cluster.platform.workers.get(worker)?.kill();
        cluster.platform.setWorkerState(worker, undefined);
    };
    const leave = async (worker: string): Promise<void> => {
        cluster.platform.setWorkerState(worker, "draining");
        await new Promise(resolve => {
            setTimeout(resolve, drainTime);
        });
        crash(worker);
    };
    /** Longest time in ms for which one of the workflow's tasks has no run, over the next `duration` ms. */
    const longestGap = async (number: number, count: number, duration: number): Promise<number> => {
        const step = 50;
        const absentFor = new Map<number, number>();
        let longest = 0;
        for (let elapsed = 0; elapsed < duration; elapsed += step) {
            await time.advance(step);
            const running = new Set(runningTasks(number));
            for (let index = 0; index < count; index += 1) {
                const absent = running.has(`${idOf(number)}.0.0.${String(index)}`)
                    ? 0
                    : (absentFor.get(index) ?? 0) + step;
                absentFor.set(index, absent);
                longest = Math.max(longest, absent);
            }
        }
        return longest;
    };

    // Guards against long-running tasks that stay without a run for good: room that became free while their workers
    // were draining went to tasks that had not run yet.
    it.each([
        ["", false],
        [", with another holder in between", true],
    ])("get the room that becomes free before new ones do%s", async (...[, hasHandOver]) => {
        const kept = 28;
        await submit(1, kept);
        await submit(2, workerCount * tasksPerWorker - kept);
        await submit(3, 12);
        expect([1, 2, 3].map(number => runningTasks(number).length)).toEqual([28, 12, 0]);
        const [first = "", second = ""] = busiestWorkers(1, 2);
        void leave(first);
        setTimeout(() => {
            void leave(second);
            if (hasHandOver) {
                cluster.kill(cluster.holder() ?? "");
            }
        }, 1_000);
        setTimeout(() => {
            void cancel(2);
        }, roomDelay);
        expect(await longestGap(1, kept, 2 * drainTime)).toBeLessThanOrEqual(longestAbsence);
        expect([1, 2].map(number => runningTasks(number).length)).toEqual([kept, 0]);
    });

    // Guards against tasks of crashed workers that wait behind new ones or beyond the leases of their lost runs.
    it.each([
        ["", false],
        [", with another holder in between", true],
    ])("run again soon after their workers have crashed and there is room%s", async (...[, hasHandOver]) => {
        const kept = 28;
        await submit(1, kept);
        await submit(2, workerCount * tasksPerWorker - kept);
        await submit(3, 12);
        const [first = "", second = ""] = busiestWorkers(1, 2);
        crash(first);
        setTimeout(() => {
            crash(second);
            if (hasHandOver) {
                cluster.kill(cluster.holder() ?? "");
            }
        }, 1_000);
        setTimeout(() => {
            void cancel(2);
        }, roomDelay);
        expect(await longestGap(1, kept, 2 * drainTime)).toBeLessThanOrEqual(longestAbsenceAfterCrash);
        expect([1, 2].map(number => runningTasks(number).length)).toEqual([kept, 0]);
    });

    // Guards against tasks that are stopped although their cell has room for only some of them.
    it("go on until their worker is about to leave while there is no room for them", async () => {
        const kept = workerCount * tasksPerWorker - 1;
        await submit(1, kept);
        const leaving = [...cluster.platform.workers.keys()]
            .find(worker => tasksOn(worker).length === tasksPerWorker) ?? "";
        const tasks = tasksOn(leaving);
        cluster.platform.setWorkerState(leaving, "draining");
        await time.advance(1_200);
        expect(tasks.filter(task => tasksOn(leaving).includes(task))).toHaveLength(tasksPerWorker - 1);
        expect(runningTasks(1)).toHaveLength(kept);
    });
});
