import type { SubmissionAnswer } from "@jayfront/workflow";
import type { JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import pino from "pino";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds until the cell has a holder that knows its workers. */
const warmUp = 6_000;
/** Milliseconds for which the process runs between two suspensions. */
const runningTime = 30;
/** Milliseconds for which the process is suspended each time. */
const suspendedTime = 1_200;
/** Milliseconds without suspensions after which the holder keeps up again and all hosts know. */
const recoveryTime = 6_000;
/** Milliseconds within which a submission that can't be served soon has to be refused. */
const refusalBound = 50;

const acceptedId = "00000000000000a1";
const lateId = "00000000000000a2";

describe("a holder whose process is late again and again", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    /** Number of times that a host has loaded the cell. */
    let loadedCells: number;
    beforeEach(async () => {
        time = installFakeTime();
        loadedCells = 0;
        const logger = pino({}, {
            write: (line: string) => {
                loadedCells += line.includes('"cell loaded"') ? 1 : 0;
            },
        });
        cluster = createWorkflowCluster({ hosts: { "east-a": 2 }, workers: { "east-a": 2 }, logger });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    const holder = (): string => cluster.holder() ?? "";
    const otherHost = (): string => [...cluster.hosts.keys()].find(id => id !== holder()) ?? "";
    const submit = async (host: string, id: string, count: number): Promise<SubmissionAnswer & { after: number; }> => {
        const submittedAt = performance.now();
        let answered: SubmissionAnswer & { after: number; } | undefined;
        void cluster.submit(host, id, [{ count, cpu: 4_000, memory: 100, isLasting: true }]).then(answer => {
            answered = { ...answer, after: performance.now() - submittedAt };
        });
        await time.advanceUntil(() => answered !== undefined, 3_000, 5);
        return answered ?? { kind: "unknown", reason: "no answer", after: Infinity };
    };
    const makeLate = async (): Promise<void> => {
        for (let round = 0; round < 5; round += 1) {
            await time.suspend(suspendedTime);
            await time.advance(runningTime);
        }
    };
    const storedRows = (id: string): number =>
        ["workflows", "workflow-index"].flatMap(table => cluster.platform.store.rows(table))
            .filter(row => row.key.includes(id)).length;

    for (const [name, host] of [["the holder", holder], ["another host", otherHost]] as const) {
        // Guards against a holder that accepts more work while what it has accepted waits for its late passes.
        it(`takes no further work through ${name} until what it has accepted runs`, async () => {
            // The two workers have room for eight tasks at most, so that two tasks or more wait.
            const first = await submit(host(), acceptedId, 10);
            await makeLate();
            const late = await submit(host(), lateId, 1);
            const rows = storedRows(lateId);
            expect([first.kind, late.kind, rows]).toEqual(["accepted", "unavailable", 0]);
            expect(late.after).toBeLessThanOrEqual(refusalBound);
            expect(late.retryAfter).toBeGreaterThanOrEqual(2);
            await time.advance(recoveryTime);
            const again = await submit(host(), lateId, 1);
            expect([again.kind, storedRows(lateId) > 0]).toEqual(["accepted", true]);
        });
    }

    // Guards against a new holder that accepts a burst of work before it has placed anything of what it inherited.
    it("takes no further work as a new holder before its first round of placement", async () => {
        await submit(holder(), acceptedId, 10);
        const successor = otherHost();
        loadedCells = 0;
        cluster.kill(holder());
        await time.advanceUntil(() => loadedCells > 0, 5_000, 1);
        const early = await submit(successor, lateId, 1);
        await time.advance(100);
        const next = await submit(successor, lateId, 1);
        expect([early.kind, next.kind]).toEqual(["unavailable", "accepted"]);
    });

    // Guards against a late holder that turns away requests about the work that it has accepted.
    it("still takes repeated submissions, state requests and cancels of accepted work", async () => {
        await submit(otherHost(), acceptedId, 10);
        await makeLate();
        const repeated = await submit(otherHost(), acceptedId, 10);
        const router = cluster.hosts.get(otherHost())?.router;
        const answers = Promise.all([router?.state(acceptedId as JobId), router?.cancel(acceptedId as JobId)]);
        await time.advance(1_000);
        const kinds = (await answers).map(answer => answer?.kind);
        expect([repeated.kind, ...kinds]).toEqual(["accepted", "known", "known"]);
    });

    // Guards against a holder that refuses work because of one pause of its process.
    it("takes work after a single pause", async () => {
        await submit(otherHost(), acceptedId, 10);
        await time.advance(recoveryTime);
        await time.suspend(suspendedTime);
        await time.advance(runningTime);
        const next = await submit(otherHost(), lateId, 1);
        expect(next.kind).toBe("accepted");
    });
});
