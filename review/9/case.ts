import { setTimeout as sleep } from "node:timers/promises";

import type { Platform } from "../lib-2/platform.js";
import { runCase } from "../lib-2/run-case.js";
import { jobId, stepOf } from "../lib-2/submitter.js";

const zones = ["worcester-a", "portland-a", "quincy-b"];
/** `drainMs` in milliseconds. */
const drainTime = 2_500;
/** Milliseconds from the notice to the cut. */
const noticeTime = 300;
/** `for_s` of `node_cut`, variant `servers`, in milliseconds. */
const cutTime = 5_500;
/** Milliseconds for which a worker serves after the cut until it leaves. */
const lingerTime = 1_000;
const taskTime = 8_000;
const rounds = 3;

/** Describes the first two runs of a task at the same time; a run that has crashed has ended. */
const findOverlap = ({ events }: Platform): string | undefined => {
    const running = new Map<string, string>();
    for (const { kind, task, worker, at } of events) {
        const other = running.get(task);
        if (kind === "started" && other !== undefined) {
            return `${task} starts on ${worker} at ${String(at)} ms while it runs on ${other}`;
        }
        if (kind === "started") {
            running.set(task, worker);
        }
        if (kind === "ended" && other === worker) {
            running.delete(task);
        }
    }
    return undefined;
};

await runCase({
    zones: [...zones, ...zones],
    hostZones: zones,
    places: 8,
    longestLease: 10_000,
    stopTime: 900,
    play: async ({ submitter, platform, recorder, hasTrouble }) => {
        await sleep(3_000);
        for (let round = 1; round <= rounds; round += 1) {
            await submitter.submit(jobId(round), {
                specification: JSON.stringify({ work: taskTime }),
                steps: [stepOf(12, { estimatedMs: taskTime })],
            });
            await sleep(1_500);
            const worker = platform.workers.find(entry => entry.worker.running().length > 0 && !entry.hasLeft());
            worker?.drain(drainTime);
            await sleep(noticeTime);
            if (hasTrouble) {
                await worker?.cutRefusing();
            }
            await sleep(cutTime);
            if (hasTrouble) {
                await worker?.heal();
            }
            await sleep(lingerTime);
            await worker?.leave();
            await sleep(taskTime);
        }
        const overlap = findOverlap(platform);
        recorder.add("case", "ends", { overlap });
        return overlap;
    },
});
