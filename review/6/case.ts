import { setTimeout as sleep } from "node:timers/promises";

import { runCase } from "../lib-2/run-case.js";
import { jobId, stepOf } from "../lib-2/submitter.js";

const zones = ["worcester-a", "portland-a", "quincy-b"];
/** Steps of the one job that makes the difference; each has one task. */
const stepCount = 30;
const smallJobs = 60;
const jobInterval = 500;
/** Number of the small job after which the job of many steps is submitted. */
const jobsBefore = 12;
const taskTime = 100;
/** `finish_s` in milliseconds. */
const finishTime = 14_000;

await runCase({
    zones: [...zones, ...zones],
    hostZones: zones,
    places: 8,
    longestLease: 10_000,
    stopTime: 900,
    play: async ({ submitter, hosts, recorder, hasTrouble }) => {
        const accepted: string[] = [];
        const submissions: Promise<void>[] = [];
        const submit = async (id: string, steps: readonly object[]): Promise<void> => {
            if (await submitter.submit(id, { specification: JSON.stringify({ work: taskTime }), steps })) {
                accepted.push(id);
            }
        };
        /** Steps that run one after the other. With trouble, each names all steps before it and not only the last one. */
        const chain = Array.from({ length: stepCount }, (...[, index]) => {
            const earlier = Array.from({ length: index }, (...[, number]) => number);
            const after = hasTrouble ? earlier : earlier.slice(-1);
            return stepOf(1, { estimatedMs: taskTime, ...(after.length === 0 ? {} : { after }) });
        });
        await sleep(3_000);
        for (let number = 1; number <= smallJobs; number += 1) {
            submissions.push(submit(jobId(number), [stepOf(4, { estimatedMs: taskTime })]));
            if (number === jobsBefore) {
                submissions.push(submit(jobId(1_000), chain));
            }
            await sleep(jobInterval);
        }
        await Promise.all(submissions);
        await sleep(finishTime);
        const states = await Promise.all(accepted.map(async id => ({ id, state: await submitter.state(id) })));
        const unfinished = states.filter(({ state }) => state !== "completed").map(({ id, state }) =>
            `${id}: ${state}`
        );
        recorder.add("case", "ends", {
            accepted: accepted.length,
            unfinished,
            running: hosts.filter(host => host.isRunning()).length,
        });
        return unfinished.length === 0
            ? undefined
            : `${String(unfinished.length)} of ${String(accepted.length)} accepted jobs are not completed; ${
                unfinished.slice(0, 3).join(", ")
            }`;
    },
});
