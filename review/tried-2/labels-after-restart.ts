import { setTimeout as sleep } from "node:timers/promises";

import { runCase } from "../lib-2/run-case.js";
import { jobId, stepOf } from "../lib-2/submitter.js";

const zones = ["worcester-a", "portland-a", "quincy-b"];
/** One of seven workers is down at a time: 0.143 of them, where the kind's own share is 0.15. */
const workerCount = 7;
const downTime = 1_500;
const upTime = 3_500;
const rounds = 12;
const taskTime = 700;
const jobInterval = 300;

await runCase({
    zones: Array.from({ length: workerCount }, (...[, index]) => zones[index % zones.length] ?? ""),
    hostZones: zones,
    kinds: ["a", "a", "a", "a", "b", "b", "b"],
    places: 8,
    longestLease: 10_000,
    stopTime: 900,
    play: async ({ submitter, platform, recorder, hasTrouble }) => {
        const kinds = new Map(platform.workers.map(({ id }, index) => [id, index < 4 ? "a" : "b"]));
        const wrong: string[] = [];
        let seen = 0;
        /** Compares the starts since the last call with the kinds that the workers have had since then. */
        const review = (): void => {
            for (const { kind, worker, task, at } of platform.events.slice(seen)) {
                if (kind === "started" && kinds.get(worker) !== "a") {
                    wrong.push(`${task} starts on ${worker}, which is of kind b, at ${String(at)} ms`);
                }
            }
            seen = platform.events.length;
        };
        await sleep(3_000);
        let isOver = false;
        const submitAll = async (): Promise<void> => {
            for (let number = 1; !isOver; number += 1) {
                void submitter.submit(jobId(number), {
                    specification: JSON.stringify({ work: taskTime }),
                    steps: [stepOf(16, { estimatedMs: taskTime, requirements: "a" })],
                });
                await sleep(jobInterval);
            }
        };
        const submitting = submitAll();
        for (let round = 0; round < rounds; round += 1) {
            const worker = platform.workers[round % 4];
            const id = worker?.id ?? "";
            const next = kinds.get(id) === "a" ? "b" : "a";
            if (hasTrouble) {
                await worker?.crash();
            }
            await sleep(downTime);
            review();
            if (hasTrouble) {
                kinds.set(id, next);
                await worker?.restart(next);
            }
            await sleep(upTime);
            review();
        }
        isOver = true;
        await submitting;
        recorder.add("case", "ends", { wrong });
        return wrong.length === 0 ? undefined : `${String(wrong.length)} starts without the label; ${wrong[0] ?? ""}`;
    },
});
