import { setTimeout as sleep } from "node:timers/promises";

import { runCase } from "../lib-2/run-case.js";
import { jobId, stepOf } from "../lib-2/submitter.js";

const zones = ["worcester-a", "portland-a", "quincy-b"];
/** `for_s` of `node_cut`, variant `servers`, in milliseconds. */
const cutTime = 5_500;
/** Longer than any lease, so that the workers hold none when one of them is cut off. */
const quietTime = 7_000;
/** Time in which an entry is back, and more. */
const settleTime = 4_000;
const warmUpJobs = 3;
const jobs = 90;
const tasksPerJob = 60;
const jobInterval = 400;
const taskTime = 100;
/** `finish_s` in milliseconds. */
const finishTime = 14_000;

await runCase({
    zones: [...zones, ...zones],
    hostZones: zones,
    places: 8,
    longestLease: 10_000,
    stopTime: 900,
    play: async ({ submitter, platform, recorder, hasTrouble }) => {
        const accepted: string[] = [];
        const specification = JSON.stringify({ work: taskTime });
        const submit = async (id: string): Promise<void> => {
            const isAccepted = await submitter.submit(id, {
                specification,
                steps: [stepOf(tasksPerJob, { estimatedMs: taskTime })],
            });
            if (isAccepted) {
                accepted.push(id);
            }
        };
        await sleep(3_000);
        for (let number = 1; number <= warmUpJobs; number += 1) {
            await submit(jobId(number));
        }
        await sleep(quietTime);
        const [worker] = platform.workers;
        if (hasTrouble) {
            worker?.cut();
        }
        await sleep(cutTime);
        if (hasTrouble) {
            await worker?.heal();
        }
        await sleep(settleTime);
        const submissions: Promise<void>[] = [];
        for (let number = 1; number <= jobs; number += 1) {
            submissions.push(submit(jobId(1_000 + number)));
            await sleep(jobInterval);
        }
        await Promise.all(submissions);
        await sleep(finishTime);
        const unfinished: string[] = [];
        for (const id of accepted) {
            const state = await submitter.state(id);
            if (state !== "completed") {
                unfinished.push(`${id} is ${state}`);
            }
        }
        const running = platform.workers.flatMap(entry => entry.worker.running());
        recorder.add("case", "ends", {
            accepted: accepted.length,
            unfinished,
            running,
            listedEnds: platform.workers.map(entry => `${entry.id}: ${String(entry.worker.listedEnds())}`),
        });
        return unfinished.length === 0
            ? undefined
            : `${String(unfinished.length)} of ${String(accepted.length)} accepted jobs are not completed, ${
                String(running.length)
            } tasks run; first: ${unfinished[0] ?? ""}`;
    },
});
