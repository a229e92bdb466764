import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

const ordinaryWorkflows = 20;
const workers = 6;
/** Ends without an acknowledgement after which a worker lists no more. */
const unacknowledgedEnds = 500;
/** Milliseconds between two ordinary workflows. */
const submissionInterval = 1_500;
/** Milliseconds of work of each task. */
const work = 200;
/** Milliseconds within which a workflow with room has a run, as users expect. */
const longestWait = 3_000;
const idOf = (number: number): string => number.toString(16).padStart(16, "0");
const scheduledId = "f".repeat(16);

describe("a scheduled workflow with very many due occurrences", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    beforeEach(async () => {
        time = installFakeTime();
        cluster = createWorkflowCluster({ hosts: { "east-a": 3 }, workers: { "east-a": workers }, cpu: 8_000 });
        await time.advance(3_000);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    // Guards against accepted workflows that wait for good, since ends are no more acknowledged: the progress row of one
    // scheduled workflow has outgrown the store (review/12), or all of its occurrences are looked at in each pass.
    it.each([["one step", 1], ["20 steps in a row", 20]])(
        "with %s leaves time and room to other workflows",
        async (...[, stepCount]) => {
            const [first = ""] = [...cluster.hosts.keys()];
            const occurrences = 7_200;
            const schedule = { repetitions: occurrences, firstDue: Date.now() - occurrences * 1_000, interval: 1_000 };
            const steps = Array.from(
                { length: stepCount },
                (...[, number]) => ({ cpu: 1_000, after: number === 0 ? [] : [number - 1] }),
            );
            void cluster.submit(first, scheduledId, steps, { work }, schedule);
            await time.advance(1_000);
            const submittedAt = new Map<string, number>();
            for (let number = 0; number < ordinaryWorkflows; number += 1) {
                submittedAt.set(idOf(number), performance.now());
                void cluster.submit(first, idOf(number), [{ cpu: 1_000 }], { work });
                await time.advance(submissionInterval);
            }
            await time.advance(longestWait);
            const { events } = cluster.platform.journal;
            const jobOf = (task: string): string => task.split(".")[0] ?? "";
            const waits = [...submittedAt].map(([id, at]) =>
                (events.find(event => event.kind === "started" && jobOf(event.task) === id)?.at ?? Infinity) - at
            );
            expect(Math.max(...waits)).toBeLessThan(longestWait);
            const rows = cluster.platform.store.rows("progress").map(({ value }) => JSON.stringify(value).length);
            expect(Math.max(0, ...rows)).toBeLessThan(65_536);
            // The scheduled workflow goes on beside them.
            const ended = events.filter(event => event.kind === "ended" && jobOf(event.task) === scheduledId).length;
            expect(ended).toBeGreaterThan(1.5 * workers * unacknowledgedEnds);
        },
    );
});
