import { setTimeout as sleep } from "node:timers/promises";

import { runCase } from "../lib-2/run-case.js";
import { jobId, stepOf } from "../lib-2/submitter.js";

const zones = ["worcester-a", "portland-a", "quincy-b"];
/** Milliseconds for which the worker is cut off while it has tasks; its entry stays. */
const shortCut = 2_500;
/** `for_s` of `node_cut`, variant `servers`, in milliseconds; the worker has nothing to do at that time. */
const longCut = 5_500;
const busyTime = 3_000;
/** Longer than any lease. */
const quietTime = 8_000;
/** Time in which an entry is back, and more. */
const settleTime = 3_000;
const taskTime = 400;
const jobInterval = 500;
/** `finish_s` in milliseconds. */
const finishTime = 14_000;

await runCase({
    zones: [...zones, ...zones],
    hostZones: zones,
    // The jobs need a worker of kind b.
    kinds: ["b", "a", "a", "a", "a", "a"],
    places: 8,
    longestLease: 10_000,
    stopTime: 900,
    play: async ({ submitter, platform, recorder, hasTrouble }) => {
        const [worker] = platform.workers;
        const cut = async (cutTime: number): Promise<void> => {
            if (hasTrouble) {
                worker?.cut();
            }
            await sleep(cutTime);
            if (hasTrouble) {
                await worker?.heal();
            }
        };
        const submit = (id: string): Promise<boolean> =>
            submitter.submit(id, {
                specification: JSON.stringify({ work: taskTime }),
                steps: [stepOf(4, { estimatedMs: taskTime, requirements: "b" })],
            });
        await sleep(3_000);
        let isBusy = true;
        const submissions: Promise<boolean>[] = [];
        const submitAll = async (): Promise<void> => {
            for (let number = 1; isBusy; number += 1) {
                submissions.push(submit(jobId(number)));
                await sleep(jobInterval);
            }
        };
        const submitting = submitAll();
        await sleep(busyTime);
        await cut(shortCut);
        await sleep(busyTime);
        isBusy = false;
        await submitting;
        await Promise.all(submissions);
        await sleep(quietTime);
        await cut(longCut);
        await sleep(settleTime);
        const last = jobId(1_000);
        const isAccepted = await submit(last);
        await sleep(finishTime);
        const state = await submitter.state(last);
        const starts = platform.events.filter(({ kind, task }) => kind === "started" && task.startsWith(last));
        recorder.add("case", "ends", { isAccepted, state, starts: starts.length, running: worker?.worker.running() });
        return isAccepted && state !== "completed"
            ? `an accepted job is ${state} after ${String(finishTime)} ms, ${
                String(starts.length)
            } of its tasks started on the worker for it, which is idle and reachable`
            : undefined;
    },
});
