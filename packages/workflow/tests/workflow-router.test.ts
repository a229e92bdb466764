import type { CellId, FailureDomainId, HostId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Registry } from "prom-client";
import { Result } from "true-myth";

import type { CellSummary } from "../src/cell/cell-summary.js";
import type { CellClaims } from "../src/entry/cell-claims.js";
import { createCellClaims } from "../src/entry/cell-claims.js";
import type { SubmissionAnswer, WorkflowRouter } from "../src/entry/workflow-router.js";
import { createWorkflowRouter } from "../src/entry/workflow-router.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import type { EntryHostRecord } from "../src/peer/host-registry.js";
import type { WorkflowNetwork } from "../src/peer/workflow-network.js";
import type { StateStore } from "../src/port/state-store.js";
import { createWorkflowMetrics } from "../src/workflow-metrics.js";
import { testQueue } from "./test-queue.js";

/** Milliseconds within which the submitter should get an answer. */
const timeout = 250;
/** Milliseconds after which a call to a peer times out. */
const callTimeout = 1_200;
/** Milliseconds until a holder's claim is out of date. */
const heartbeatInterval = 400;

const hostOf = (id: string): EntryHostRecord => ({
    id: id as HostId,
    failureDomain: "east-a" as FailureDomainId,
    peerAddress: `${id}:1`,
    incarnation: id,
    storeDelay: 4,
    processors: 1,
});
const summaryOf = (cell: string): CellSummary => ({
    cell: cell as CellId,
    epoch: 1,
    isActive: true,
    isBehind: false,
    provenAgo: 0,
    pending: {},
    racks: [],
    capacityCpu: 16_000,
    usedCpu: 0,
    freeCpu: 16_000,
    backlog: [],
    accepted: [],
});

describe("submissions that the holder does not answer in time", () => {
    let claims: CellClaims;
    let router: WorkflowRouter;
    /** What a call to a holder resolves to. */
    let answerCall: WorkflowNetwork["call"];
    let calls: number;

    beforeEach(() => {
        jest.useFakeTimers();
        calls = 0;
        claims = createCellClaims({ lateTime: () => 0 });
        answerCall = async () => {
            await sleep(callTimeout);
            return Result.err({ kind: "unknown", message: "no reply" });
        };
        router = createWorkflowRouter({
            cells: () => ["a" as CellId],
            store: {
                read: () => Promise.resolve(Result.err({ kind: "unknown", message: "no answer" })),
            } as unknown as StateStore,
            network: {
                call: async (...call) => {
                    calls += 1;
                    return await answerCall(...call);
                },
                close: () => undefined,
            },
            claims,
            held: () => undefined,
            earlyCancellations: {
                retention: 0,
                cancel: () => Promise.reject(new Error("not used")),
                run: () => Promise.resolve(),
            },
            isNear: () => true,
            logger: pino({ level: "silent" }),
            metrics: createWorkflowMetrics(new Registry()),
        });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    /** Submits a workflow; resolves to the answer and the milliseconds until it. */
    const submit = async (
        steps: readonly Step[] = [],
    ): Promise<SubmissionAnswer & { readonly after: number; }> => {
        const submittedAt = performance.now();
        const answered = router.submit({
            id: "0000000000000001" as JobId,
            queue: testQueue,
            payload: "",
            steps,
            acceptedAt: 0,
        }, timeout).then(answer => ({ ...answer, after: performance.now() - submittedAt }));
        await jest.advanceTimersByTimeAsync(5 * callTimeout);
        return await answered;
    };

    // Guards against a submission that is held beyond the time that its submitter waits, for a holder without an answer.
    it("are answered as unknown when the submitter's time is over", async () => {
        claims.recordHeartbeat(hostOf("h-1"), [summaryOf("a")], 100 * heartbeatInterval);
        const { kind, after } = await submit();
        expect([kind, after]).toEqual(["unknown", timeout]);
    });

    // Guards against a call that is sent after the submission has been answered as not run.
    it("are not sent later than that", async () => {
        claims.recordHeartbeat(hostOf("h-1"), [summaryOf("a")], 100 * heartbeatInterval);
        let sendWithin = Infinity;
        answerCall = async (...[, , , limits]) => {
            sendWithin = limits?.sendWithin ?? Infinity;
            await sleep(sendWithin);
            return Result.err({ kind: "not-sent", message: "no connection" });
        };
        const { kind, after } = await submit();
        expect([kind, after <= timeout, sendWithin <= timeout]).toEqual(["unavailable", true, true]);
    });

    // Guards against submissions that add to the work of a holder which would decline them, or is too late to answer.
    it("are refused at once, with a later time to come back, if the holder has said that it is behind", async () => {
        claims.recordHeartbeat(hostOf("h-1"), [{ ...summaryOf("a"), isBehind: true }], 100 * heartbeatInterval);
        const { kind, after, retryAfter = 0 } = await submit();
        expect([kind, after, retryAfter >= 2, calls]).toEqual(["unavailable", 0, true, 0]);
    });

    // Guards against small urgent workflows that nobody accepts, since all holders are late with large ones.
    it.each([[4, "accepted", 1], [3, "unavailable", 0]])(
        "are sent to holders that are all behind, if one has %i starts left for them",
        async (placementReserve, kind, count) => {
            const summaries = [{ ...summaryOf("a"), placementReserve }, { ...summaryOf("b"), placementReserve: 0 }];
            claims.recordHeartbeat(
                hostOf("h-1"),
                summaries.map(summary => ({ ...summary, isBehind: true })),
                100 * heartbeatInterval,
            );
            answerCall = () => Promise.resolve(Result.ok({ kind: "accepted" }) as never);
            const answer = await submit([createStep({ count: 4 })]);
            expect([answer.kind, calls]).toEqual([kind, count]);
        },
    );

    // Guards against a caller that waits although no cell can serve it, or comes back before one can.
    it("are refused at once, with the earliest time of a cell, if all cells would be too late for them", async () => {
        claims.recordHeartbeat(hostOf("h-1"), [summaryOf("a"), summaryOf("b")], 100 * heartbeatInterval);
        const returns = [5_200, 3_100];
        answerCall = () => Promise.resolve(Result.ok({ kind: "late", retryAfter: returns[calls % 2] ?? 0 }) as never);
        const { kind, after, retryAfter } = await submit();
        expect([kind, after <= 0.4 * timeout, retryAfter]).toEqual(["unavailable", true, 4]);
    });

    // Guards against a workflow that may be stored in one cell and is reported as not run since another is too late.
    it("are not refused if one cell is too late and another one has not answered", async () => {
        claims.recordHeartbeat(hostOf("h-1"), [summaryOf("a"), summaryOf("b")], 100 * heartbeatInterval);
        answerCall = () =>
            calls === 1
                ? Promise.resolve(Result.err({ kind: "unknown", message: "no reply" }))
                : Promise.resolve(Result.ok({ kind: "late", retryAfter: 5_000 }) as never);
        expect((await submit()).kind).toBe("unknown");
    });

    // Guards against a workflow that is reported as not accepted although the holder has said that it is stored.
    it("are sent to a holder that is behind if it has accepted the workflow before", async () => {
        claims.recordHeartbeat(
            hostOf("h-1"),
            [{ ...summaryOf("a"), isBehind: true, accepted: ["0000000000000001" as JobId] }],
            100 * heartbeatInterval,
        );
        answerCall = () => Promise.resolve(Result.ok({ kind: "accepted" }) as never);
        const { kind } = await submit();
        expect([kind, calls]).toEqual(["accepted", 1]);
    });

    // Guards against submissions of which each ends as unknown, sent to a holder that has not answered those before.
    it("are refused at once while the holder has been silent for too long, and sent again once it is heard", async () => {
        claims.recordHeartbeat(hostOf("h-1"), [summaryOf("a")], 100 * heartbeatInterval);
        const first = await submit();
        const second = await submit();
        const callsWhileSilent = calls;
        claims.recordHeartbeat(hostOf("h-1"), [summaryOf("a")], 100 * heartbeatInterval);
        answerCall = () => Promise.resolve(Result.ok({ kind: "accepted" }) as never);
        const third = await submit();
        expect([first.kind, second.kind, second.after, callsWhileSilent]).toEqual(["unknown", "unavailable", 0, 1]);
        expect([third.kind, calls]).toEqual(["accepted", 2]);
    });

    // Guards against submissions that wait for a holder although the host knows that none has answered for long.
    it("are refused at once after a while without any holder", async () => {
        const first = await submit();
        const second = await submit();
        expect([first.kind, second.kind, first.after <= timeout, second.after]).toEqual(
            ["unavailable", "unavailable", true, 0],
        );
        expect(calls).toBe(0);
    });
});
