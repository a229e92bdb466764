import type { CellId, FailureDomainId, HostId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Registry } from "prom-client";
import { Result } from "true-myth";

import { rowKeys } from "../src/cell/row-keys.js";
import type { SubmissionReply } from "../src/cell/submission-reply.js";
import type { CellClaims } from "../src/entry/cell-claims.js";
import { createCellClaims } from "../src/entry/cell-claims.js";
import type { SubmissionAnswer, WorkflowRouter } from "../src/entry/workflow-router.js";
import { createWorkflowRouter } from "../src/entry/workflow-router.js";
import type { WorkflowMessages } from "../src/peer/workflow-message.js";
import type { StateStore } from "../src/port/state-store.js";
import { createWorkflowMetrics } from "../src/workflow-metrics.js";
import { testQueue } from "./test-queue.js";

const cells = ["a", "b", "c", "d", "e", "f"] as CellId[];
/** Those of them that are not the first two in the order of this job's offers. */
const askedLater = ["a", "b", "c", "e"] as CellId[];
/** Milliseconds within which the submitter should get an answer. */
const timeout = 1_350;
const job = "0000000000000001" as JobId;

/** Milliseconds, at most, for which an answer waits for the index once the submission's time is over. */
const longestLookUp = 150;

describe("submissions to busy holders without room", () => {
    let claims: CellClaims;
    let router: WorkflowRouter;
    /** Milliseconds that a holder takes to decline, and to store a workflow. */
    let declineTime: number;
    let storeTime: number;
    /** Milliseconds that the store takes to answer. */
    let readTime: number;
    /** Milliseconds from the submission until the index names a cell for the workflow. */
    let indexTime: number;
    /** What a holder replies to an offer that it may decline. */
    let declineReply: SubmissionReply;
    /** The cell that has room, and the one whose holder never replies. */
    let roomyCell: CellId | undefined;
    let silentCell: CellId | undefined;
    /** Whether each offer that was sent could be declined. */
    let offers: boolean[];

    beforeEach(() => {
        jest.useFakeTimers();
        offers = [];
        readTime = 20;
        roomyCell = undefined;
        silentCell = undefined;
        indexTime = Infinity;
        declineReply = { kind: "full", roomShare: 0 };
        const startedAt = performance.now();
        claims = createCellClaims({ lateTime: () => 0 });
        cells.forEach(cell => {
            const host = {
                id: `h-${cell}` as HostId,
                failureDomain: cell as string as FailureDomainId,
                peerAddress: `${cell}:1`,
                incarnation: cell,
                storeDelay: 4,
                processors: 0.1,
            };
            claims.recordHeartbeat(host, [{
                cell,
                epoch: 1,
                isActive: true,
                isBehind: false,
                provenAgo: 0,
                pending: {},
                racks: [],
                capacityCpu: 16_000,
                usedCpu: 16_000,
                freeCpu: 0,
                backlog: [],
                accepted: [],
            }], 10 * timeout);
        });
        router = createWorkflowRouter({
            cells: () => cells,
            store: {
                read: async () => {
                    await sleep(readTime);
                    const isIndexed = performance.now() - startedAt >= indexTime;
                    return Result.ok({ rows: isIndexed ? [{ ...rowKeys.index(job), value: "a" }] : [], version: 1 });
                },
            } as unknown as StateStore,
            network: {
                call: async (...[, , body]) => {
                    const { cell, mayDecline } = body as WorkflowMessages["submit"];
                    offers.push(mayDecline);
                    const isDeclined = mayDecline && cell !== roomyCell;
                    await sleep(cell === silentCell ? 10 * timeout : isDeclined ? declineTime : storeTime);
                    return Result.ok(isDeclined ? declineReply : { kind: "accepted" }) as never;
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
    const submit = async (): Promise<SubmissionAnswer & { readonly after: number; }> => {
        const submittedAt = performance.now();
        const workflow = { id: job, queue: testQueue, payload: "", steps: [], acceptedAt: 0 };
        const answered = router.submit(workflow, timeout)
            .then(answer => ({ ...answer, after: performance.now() - submittedAt }));
        await jest.advanceTimersByTimeAsync(2 * timeout);
        return await answered;
    };

    // Guards against a submission whose time is over before saturated holders have declined it one after another.
    it.each([250, 400])("are accepted in time, though each holder takes %i ms to decline", async time => {
        declineTime = time;
        storeTime = 2 * time;
        expect((await submit()).kind).toBe("accepted");
    });

    // Guards against a workflow that waits in a full cell since the time was over before the one with room was asked.
    it.each(cells)("are accepted by the cell that has room, though holders take long to decline (%s)", async cell => {
        roomyCell = cell;
        declineTime = 250;
        storeTime = 400;
        const { kind, reason } = await submit();
        expect([kind, reason.includes(`${cell}: accepted`)]).toEqual(["accepted", true]);
    });

    // Guards against a holder without reply that takes the time in which another one would have to accept.
    it.each(askedLater)("are accepted in time, though one of the later holders does not reply (%s)", async cell => {
        silentCell = cell;
        declineTime = 250;
        storeTime = 400;
        expect((await submit()).kind).toBe("accepted");
    });

    // Guards against a workflow that a cell has to accept although another one has room, where holders answer early.
    it("are offered to all cells before one has to accept, where holders answer early", async () => {
        declineTime = 40;
        storeTime = 100;
        expect([(await submit()).kind, offers]).toEqual(["accepted", [...cells.map(() => true), false]]);
    });

    // Guards against a 504 for a workflow that is stored, whose holder is too busy to say so in time.
    it.each([0, 800, timeout - 10])("are accepted by the index if they are stored after %i ms", async storedAfter => {
        declineTime = 250;
        storeTime = 2 * timeout;
        indexTime = storedAfter;
        const { kind, after } = await submit();
        expect([kind, after]).toEqual(["accepted", timeout + readTime]);
    });

    // Guards against a 200 for a workflow that may yet not be stored, and an answer that waits for a slow store.
    it.each([20, 10 * timeout])("are answered as unknown if the index does not tell (read of %i ms)", async time => {
        declineTime = 250;
        storeTime = 2 * timeout;
        readTime = time;
        const { kind, after } = await submit();
        expect([kind, after]).toEqual(["unknown", timeout + Math.min(time, longestLookUp)]);
    });

    // Guards against a 503 for a workflow that is stored, from a host whose offers are all declined.
    it("are not refused if they are stored, though all holders are behind", async () => {
        declineTime = 20;
        declineReply = { kind: "behind" };
        indexTime = 0;
        expect((await submit()).kind).toBe("accepted");
    });

    // Guards against a retry that waits for a busy holder although its heartbeat has named the workflow.
    it("are accepted at once, by the index, if a holder has told that it accepted them before", async () => {
        claims.rememberCell(job, cells[0] as CellId);
        indexTime = 0;
        const { kind, after } = await submit();
        expect([kind, after, offers.length]).toEqual(["accepted", readTime, 0]);
    });

    // Guards against a 504 for a workflow that one holder knows to be stored in the cell of another, which is busy.
    it("are accepted once a holder replies that the index names another cell", async () => {
        declineTime = 500;
        declineReply = { kind: "elsewhere", cell: "z" as CellId };
        const { kind, after } = await submit();
        expect([kind, after, offers.length]).toEqual(["accepted", declineTime, 1]);
    });
});
