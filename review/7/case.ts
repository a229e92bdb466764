import { setTimeout as sleep } from "node:timers/promises";

import { runCase } from "../lib-2/run-case.js";
import { jobId, stepOf } from "../lib-2/submitter.js";

const zones = ["worcester-a", "portland-a", "quincy-b"];
/** An entry of another writer: its service is not one of the configuration, and nothing listens at its address. */
const oddKey = "label printer №3";
const oddEntry = {
    service: "labels",
    address: "127.0.21.200:9100",
    zone: "quincy-b",
    version: "v1",
    slots: 1,
    state: "ready",
    coldRemainingMs: 0,
    capacity: { cpu: 1_000, memoryRequestMb: 512, gpu: 0 },
    labels: ["p", "r-quincy-b"],
    sequence: 1,
};
const jobs = 6;
const taskTime = 2_000;
/** Milliseconds from the stop of one host to that of the next, once the first is back; `gap_s` of `roll_term`. */
const gap = 2_000;
/** `finish_s` in milliseconds. */
const finishTime = 14_000;

await runCase({
    zones: [...zones, ...zones],
    hostZones: zones,
    places: 8,
    longestLease: 10_000,
    stopTime: 900,
    play: async ({ submitter, platform, hosts, recorder, hasTrouble }) => {
        if (hasTrouble) {
            recorder.add("another writer", "writes an entry", { key: oddKey, ...oddEntry });
            platform.store.put("servers", oddKey, oddEntry);
        }
        await sleep(4_000);
        const accepted: string[] = [];
        for (let number = 1; number <= jobs; number += 1) {
            const isAccepted = await submitter.submit(jobId(number), {
                specification: JSON.stringify({ work: taskTime }),
                steps: [0, 1, 2, 3].map(step =>
                    stepOf(2, { estimatedMs: taskTime, ...(step === 0 ? {} : { after: [step - 1] }) })
                ),
            });
            if (isAccepted) {
                accepted.push(jobId(number));
            }
        }
        // Planned work: the hosts are stopped and started in turn.
        for (const host of hosts) {
            recorder.add(host.id, "SIGTERM");
            await host.signal("SIGTERM");
            host.start();
            recorder.add(host.id, "started again");
            await sleep(gap);
        }
        await sleep(4 * taskTime + finishTime);
        const unfinished: string[] = [];
        for (const id of accepted) {
            const state = await submitter.state(id);
            if (state !== "completed") {
                unfinished.push(`${id} is ${state}`);
            }
        }
        const running = platform.workers.flatMap(entry => entry.worker.running());
        recorder.add("case", "ends", { accepted: accepted.length, unfinished, running });
        return unfinished.length === 0
            ? undefined
            : `${String(unfinished.length)} of ${String(accepted.length)} accepted jobs are not completed, ${
                String(running.length)
            } tasks run; first: ${unfinished[0] ?? ""}`;
    },
});
