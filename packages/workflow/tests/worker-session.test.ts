import type { FailureDomainId, ServiceId, WorkerId } from "@jayfront/world";
import { createStopSignal, sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import { createLateOrderDetector } from "../src/cell/late-order-detector.js";
import { createPollBudget } from "../src/cell/poll-budget.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import { createWorkerSession } from "../src/cell/worker-session.js";
import type { WorkerEntry } from "../src/model/worker-entry.js";
import type { OrderError, WorkerReport } from "../src/port/worker-gateway.js";

const entry: WorkerEntry = {
    id: "w-1" as WorkerId,
    address: "10.0.0.1:1",
    service: "desk" as ServiceId,
    failureDomain: "east-a" as FailureDomainId,
    rack: "r-1",
    labels: [],
    capacity: { cpu: 16_000, memory: 64_000, accelerators: 0 },
    isDraining: false,
    bornAt: 1,
};
const replaced: Result<never, OrderError> = Result.err({ kind: "reborn", message: "421" });
const silent: Result<never, OrderError> = Result.err({ kind: "unknown", message: "no answer" });
const closed: Result<never, OrderError> = Result.err({ kind: "closed", message: "nobody listens" });

describe("session of a worker", () => {
    const stop = createStopSignal();
    let answer: Result<WorkerReport, OrderError>;
    let tokens: number[];
    /** Deadlines of the polls. */
    let deadlines: (number | undefined)[];
    /** Milliseconds for which polls allowed the worker to delay its answer. */
    let waits: number[];
    /** Tokens of the start orders. */
    let startTokens: number[];
    /** Results of the next stop orders, in order; later ones are `closed`. */
    let stopResults: (() => Promise<Result<number, OrderError>>)[];
    /** Numbers of the ends that polls allowed the worker to forget. */
    let acknowledged: number[];
    /** Delays in ms of the answers to the next polls, in order; later answers arrive at once. */
    let delays: number[];
    /** Delay in ms of the answers to polls that acknowledge ends, in place of `delays`; undefined for none. */
    let acknowledgementDelay: number | undefined;
    /** Milliseconds since each restart of the worker that the session has seen, as of that moment. */
    let restarts: number[];
    /** Number of the next reports whose handling fails. */
    let failingReports: number;
    /** The highest token that the worker has seen from elsewhere. */
    let highestToken: number;
    /** Whether polls throw before they are sent. */
    let throwsPolls: boolean;
    /** Whether the cell has no later holder. */
    let isLeaseHeld: boolean;
    let session: WorkerSession;
    const report = (bornAt: number): Result<WorkerReport, OrderError> =>
        Result.ok({ clock: 500_000 + performance.now(), bornAt, running: [], ended: [], hasAllEnds: true });

    const listing = (number: number): Result<WorkerReport, OrderError> =>
        report(1).map(value => ({
            ...value,
            ended: [{ number, task: "j.0.0.9" as never, run: 1, outcome: "done" as const, checkpoint: "" }],
        }));

    beforeEach(async () => {
        jest.useFakeTimers();
        answer = report(1);
        tokens = [];
        deadlines = [];
        waits = [];
        startTokens = [];
        stopResults = [];
        acknowledged = [];
        delays = [];
        acknowledgementDelay = undefined;
        restarts = [];
        failingReports = 0;
        throwsPolls = false;
        highestToken = 0;
        isLeaseHeld = true;
        const lateOrderDetector = createLateOrderDetector();
        session = createWorkerSession({
            entry,
            epoch: 3,
            timing: { longestLease: 10_000, stopTime: 900, retention: 1, clockDrift: 0.02, lateOrderTime: 12_000 },
            logger: pino({ level: "silent" }),
            gateway: {
                start: (...[, { token }]) => {
                    startTokens.push(token);
                    return Promise.resolve(Result.err({ kind: "unknown", message: "no answer" }));
                },
                stop: () => stopResults.shift()?.() ?? Promise.resolve(closed),
                poll: async (...[, { token, recordedEnd, wait = 0, deadline }]) => {
                    if (throwsPolls) {
                        throw new Error("the order can't be encoded");
                    }
                    if (token < highestToken) {
                        return Result.err({ kind: "fenced", message: "409 fence" });
                    }
                    tokens.push(token);
                    deadlines.push(deadline);
                    waits.push(wait);
                    acknowledged.push(recordedEnd);
                    const given = answer;
                    const delay = recordedEnd > 0 && acknowledgementDelay !== undefined
                        ? acknowledgementDelay
                        : delays.shift();
                    if (delay !== undefined) {
                        await sleep(delay);
                    }
                    return given;
                },
                throttle: () => Promise.resolve(closed),
                disconnect: () => undefined,
            },
            events: {
                onReport: () => {
                    if (failingReports > 0) {
                        failingReports -= 1;
                        throw new Error("the report can't be handled");
                    }
                },
                onRestarted: (...[, age]) => {
                    restarts.push(age);
                },
                onLapsed: () => undefined,
                onFenced: (fenced, token) => {
                    if (isLeaseHeld) {
                        fenced.recordFence(token);
                    }
                },
                onContactChange: () => undefined,
            },
            isBusy: () => true,
            mayInterfere: () => false,
            lateOrderDetector,
            inheritedLeases: () => ({ until: 0, lateUntil: 0 }),
            mayExtendLease: () => true,
            processDelay: () => 0,
            pollBudget: createPollBudget(),
        });
        void session.run(stop.signal);
        session.beginProof();
        await jest.advanceTimersByTimeAsync(100);
        session.beginProof()();
        // An unanswered start whose deadline may still arrive, since orders may be late.
        lateOrderDetector.recordSign();
        await session.start({ task: "j.0.0.0" as never, run: 1, payload: "", checkpoint: "" });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against a worker that is never polled again, because an error in the handling of one report ended its polls.
    it("is polled again after a report that can't be handled", async () => {
        failingReports = 1;
        await jest.advanceTimersByTimeAsync(3_000);
        const polls = tokens.length;
        await jest.advanceTimersByTimeAsync(3_000);
        expect(failingReports).toBe(0);
        expect(tokens.length).toBeGreaterThan(polls);
        expect(session.contact()).toBe("known");
    });

    // Guards against a worker whose polls always throw: a new holder waited for its report for good (review/7).
    it.each(["handling of the report", "call"])(
        "marks a worker as lapsed when an exception ends each %s",
        async part => {
            failingReports = part === "call" ? 0 : Infinity;
            throwsPolls = part === "call";
            await jest.advanceTimersByTimeAsync(30_000);
            expect(session.contact()).toBe("lapsed");
            failingReports = 0;
            throwsPolls = false;
            await jest.advanceTimersByTimeAsync(3_000);
            expect(session.contact()).toBe("known");
        },
    );

    // Guards against tasks that start elsewhere while their worker runs on behind a cut that refuses connections (review/9).
    it("waits until the leases expire if a worker is refused and missing after its announced drain", async () => {
        session.setEntry({ ...entry, isDraining: true, remaining: 2_000 });
        await jest.advanceTimersByTimeAsync(2_100);
        answer = closed;
        session.setEntry(undefined);
        await jest.advanceTimersByTimeAsync(3_000);
        expect(session.contact()).toBe("silent");
        await jest.advanceTimersByTimeAsync(14_000);
        expect(session.contact()).toBe("lapsed");
    });

    it("waits until the leases expire if the worker does not answer but may still run", async () => {
        session.setEntry({ ...entry, isDraining: true, remaining: 2_000 });
        await jest.advanceTimersByTimeAsync(2_100);
        answer = Result.err({ kind: "not-sent", message: "no answer" });
        // The worker answers nothing after this start, so that its deadline may arrive late.
        await session.start({ task: "j.0.0.0" as never, run: 2, payload: "", checkpoint: "" });
        session.setEntry(undefined);
        await jest.advanceTimersByTimeAsync(10_000);
        expect(session.contact()).toBe("silent");
        await jest.advanceTimersByTimeAsync(9_000);
        expect(session.contact()).toBe("lapsed");
    });

    /** Proves the lease of the cell, and has the worker's lease extended; returns the deadlines that this has sent. */
    const extendLease = async (): Promise<readonly number[]> => {
        session.beginProof()();
        deadlines = [];
        void session.extendLease();
        await jest.advanceTimersByTimeAsync(500);
        return deadlines.filter(deadline => deadline !== undefined);
    };

    // Guards against tasks that wait for the end of a lease that their worker got after it had stopped to answer.
    it("extends no lease after an unanswered call before the worker has answered another one", async () => {
        await jest.advanceTimersByTimeAsync(1_000);
        answer = silent;
        await session.start({ task: "j.0.0.0" as never, run: 2, payload: "", checkpoint: "" });
        const whileSilent = await extendLease();
        answer = report(1);
        await jest.advanceTimersByTimeAsync(500);
        expect([whileSilent.length, (await extendLease()).length]).toEqual([0, 1]);
    });

    // Guards against the same if the lease is extended again and again while no call has timed out yet.
    it("repeats the deadline of an extension that has not been answered", async () => {
        await jest.advanceTimersByTimeAsync(1_000);
        answer = silent;
        delays = Array(10).fill(2_000);
        const first = await extendLease();
        expect([first.length, await extendLease()]).toEqual([1, first]);
    });

    // Guards against tasks that wait 12 s longer for a deadline that the worker would refuse: it has answered an order with
    // a higher token since.
    it("does not wait for a late deadline that a later order has made void", async () => {
        await jest.advanceTimersByTimeAsync(1_000);
        answer = silent;
        await jest.advanceTimersByTimeAsync(9_000);
        expect(session.contact()).toBe("lapsed");
    });

    // Guards against tasks that wait up to a second longer than the leases of a lost worker, for a poll that times out.
    it("marks a worker as lapsed when its leases expire, also while a poll has no answer", async () => {
        await jest.advanceTimersByTimeAsync(1_000);
        answer = silent;
        delays = Array<number>(20).fill(1_000);
        await jest.advanceTimersByTimeAsync(3_000);
        const polls = tokens.length;
        const leasedFor = session.leasedFor() ?? 0;
        expect(leasedFor).toBeGreaterThan(1_000);
        await jest.advanceTimersByTimeAsync(leasedFor - 20);
        expect(session.contact()).toBe("silent");
        await jest.advanceTimersByTimeAsync(50);
        expect(session.contact()).toBe("lapsed");
        expect(tokens.length).toBeGreaterThan(polls);
    });

    /** Reads the directory every second, for so many milliseconds. */
    const readDirectory = async (isListed: boolean, duration: number): Promise<void> => {
        for (let passed = 0; passed < duration; passed += 1_000) {
            session.setEntry(isListed ? entry : undefined);
            await jest.advanceTimersByTimeAsync(1_000);
        }
    };

    // Guards against tasks that stay away for 20 s (review case 5), and against two runs of a task if the entry is only
    // missing since the store was unavailable, or if the worker still registers itself.
    it.each<[string, string, () => Promise<void>]>([
        ["not listed any more", "lapsed", () => readDirectory(false, 9_000)],
        ["listed", "silent", () => readDirectory(true, 9_000)],
        ["not listed, with the store unavailable until now", "silent", async () => {
            session.setEntry(undefined);
            await jest.advanceTimersByTimeAsync(8_000);
            await readDirectory(false, 1_000);
        }],
    ])("counts a late deadline of a worker that is %s: %s", async (...[, contact, pass]) => {
        answer = silent;
        await session.start({ task: "j.0.0.0" as never, run: 2, payload: "", checkpoint: "" });
        await pass();
        expect(session.contact()).toBe(contact);
    });

    it("uses a higher token for each incarnation, so that late orders to an earlier one have no effect", async () => {
        const first = tokens.at(-1) ?? 0;
        answer = report(2);
        await jest.advanceTimersByTimeAsync(1_000);
        const second = tokens.at(-1) ?? 0;
        expect(second).toBeGreaterThan(first);
        // A later holder's tokens are higher than all of them.
        expect(second).toBeLessThan(4 * 1_024);
    });

    // Guards against a holder that does not expect further restarts, since it missed one that took longer than a lease.
    it("sees that the worker has restarted also after its incarnation was given up", async () => {
        answer = silent;
        await jest.advanceTimersByTimeAsync(30_000);
        const seen = [session.contact(), ...restarts];
        answer = report(Date.now() - 5_000);
        await jest.advanceTimersByTimeAsync(1_000);
        expect([seen, session.contact(), restarts.length]).toEqual([["lapsed"], "known", 1]);
        expect(restarts[0]).toBeGreaterThanOrEqual(5_000);
        expect(restarts[0]).toBeLessThan(6_000);
    });

    // Guards against tasks that wait for the leases of a worker whose address now belongs to another one.
    // Guards against a worker that is fenced out for good, since the holder took each refusal for that of a later holder
    // (review/8).
    it.each([[true, "known"], [false, "unknown"]] as const)(
        "raises its tokens above those that the worker has seen if the lease goes on: %s",
        async (isHeld, contact) => {
            isLeaseHeld = isHeld;
            session.setEntry({ ...entry, bornAt: 2 });
            answer = report(2);
            highestToken = 3 * 1_024 + 700;
            await jest.advanceTimersByTimeAsync(8_000);
            expect(session.contact()).toBe(contact);
        },
    );
    it("gives a worker up that refuses its highest token", async () => {
        highestToken = 4 * 1_024;
        await jest.advanceTimersByTimeAsync(40_000);
        expect(session.contact()).toBe("lapsed");
    });

    it("marks a worker as lapsed at once if another one answers at its address", async () => {
        answer = silent;
        await jest.advanceTimersByTimeAsync(1_000);
        expect(session.contact()).toBe("silent");
        answer = replaced;
        await jest.advanceTimersByTimeAsync(500);
        expect(session.contact()).toBe("lapsed");
    });

    // Guards against a worker that is marked as lapsed because of an answer of its predecessor at the address.
    it("ignores another worker's answer to a poll that was sent before the worker last reported", async () => {
        answer = replaced;
        delays = [300];
        await jest.advanceTimersByTimeAsync(100);
        answer = report(1);
        session.beginProof()();
        await jest.advanceTimersByTimeAsync(100);
        await session.extendLease();
        const heardLater = session.contact();
        await jest.advanceTimersByTimeAsync(250);
        expect([heardLater, session.contact()]).toEqual(["known", "known"]);
    });

    // Guards against a task that runs again because an unknown new incarnation was made to forget that it was done.
    it("acknowledges no end after a silence until a poll has shown that the incarnation goes on", async () => {
        answer = silent;
        await jest.advanceTimersByTimeAsync(500);
        session.recordEnds(1, 57);
        acknowledged = [];
        await jest.advanceTimersByTimeAsync(500);
        expect(new Set(acknowledged)).toEqual(new Set([0]));
        answer = report(1);
        await jest.advanceTimersByTimeAsync(500);
        expect(acknowledged).toContain(57);
        // A poll that shows another incarnation discards pending acknowledgements.
        session.recordEnds(1, 60);
        answer = report(2);
        acknowledged = [];
        await jest.advanceTimersByTimeAsync(500);
        expect(acknowledged.slice(1)).not.toContain(60);
    });

    // Guards against the same if the worker restarts while its ends wait to be stored.
    // Guards against ends that a new incarnation forgets before they are stored, since ends of the former one, with the same
    // numbers, were stored after its restart had been seen in the directory.
    it("acknowledges no end of an earlier incarnation", async () => {
        await jest.advanceTimersByTimeAsync(500);
        answer = report(2);
        session.setEntry({ ...entry, bornAt: 2 });
        acknowledged = [];
        session.recordEnds(1, 57);
        await jest.advanceTimersByTimeAsync(2_000);
        expect(new Set(acknowledged)).toEqual(new Set([0]));
    });

    it("polls without an acknowledgement first if a task was started and the last report is old", async () => {
        answer = listing(57);
        await jest.advanceTimersByTimeAsync(50);
        await session.start({ task: "j.0.0.1" as never, run: 1, payload: "", checkpoint: "" });
        await jest.advanceTimersByTimeAsync(300);
        acknowledged = [];
        session.recordEnds(1, 57);
        await jest.advanceTimersByTimeAsync(10);
        expect(acknowledged.slice(0, 2)).toEqual([0, 57]);
    });

    // Guards against a task that runs again because its unanswered start was carried out after a restart of the worker.
    it("sends all orders after an unanswered start with a higher token", async () => {
        await jest.advanceTimersByTimeAsync(300);
        expect(tokens.at(-1)).toBeGreaterThan(startTokens[0] ?? Infinity);
    });

    // Guards against the same: the worker has to receive a higher token soon after it has restarted.
    it("polls at least every 200 ms while an unanswered start may be carried out", async () => {
        tokens = [];
        waits = [];
        await jest.advanceTimersByTimeAsync(2_000);
        expect(tokens.length).toBeGreaterThanOrEqual(10);
        expect(Math.max(...waits)).toBeLessThanOrEqual(200);
    });

    // Guards against the same while the ends of other tasks wait for a store that does not answer.
    it("polls at least every 200 ms for that also while ends wait to be stored", async () => {
        answer = listing(57);
        await jest.advanceTimersByTimeAsync(500);
        tokens = [];
        await jest.advanceTimersByTimeAsync(2_000);
        expect(tokens.length).toBeGreaterThanOrEqual(10);
    });

    // Guards against the same (random day 553): the connection broke as the worker restarted, and the next poll came
    // after the late start.
    it("polls at least every 60 ms for that while the worker refuses connections", async () => {
        await jest.advanceTimersByTimeAsync(500);
        answer = closed;
        tokens = [];
        await jest.advanceTimersByTimeAsync(1_200);
        expect(tokens.length).toBeGreaterThanOrEqual(20);
    });

    // Guards against the same if a poll is lost or carried out late.
    it("polls on for that while an earlier poll has no answer", async () => {
        await jest.advanceTimersByTimeAsync(500);
        delays = [5_000];
        await jest.advanceTimersByTimeAsync(200);
        tokens = [];
        await jest.advanceTimersByTimeAsync(500);
        expect(tokens.length).toBeGreaterThanOrEqual(1);
    });

    // Guards against a new incarnation that forgets a `done` task because of an acknowledgement to its predecessor.
    it("sends starts with a higher token if an acknowledgement has not been answered for 100 ms", async () => {
        answer = listing(57);
        await jest.advanceTimersByTimeAsync(300);
        acknowledged = [];
        tokens = [];
        session.recordEnds(1, 57);
        acknowledgementDelay = 2_000;
        await jest.advanceTimersByTimeAsync(150);
        const unanswered = tokens[acknowledged.indexOf(57)] ?? Infinity;
        await session.start({ task: "j.0.0.1" as never, run: 1, payload: "", checkpoint: "" });
        expect(startTokens.at(-1)).toBeGreaterThan(unanswered);
    });

    // Guards against a run that goes on because its stop was overtaken by a poll with a higher token.
    it("repeats a stop that the worker refused for a token that was raised meanwhile", async () => {
        stopResults = [
            async () => {
                await session.start({ task: "j.0.0.1" as never, run: 1, payload: "", checkpoint: "" });
                return Result.err({ kind: "fenced", message: "409" });
            },
            () => Promise.resolve(Result.ok(500_000)),
        ];
        await expect(session.stop("j.0.0.0" as never, 1)).resolves.toBe(true);
        expect(stopResults).toEqual([]);
    });
});
