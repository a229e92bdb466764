import type { FailureDomainId, ServiceId, StopSignal, WorkerId } from "@jayfront/world";
import { createStopSignal, sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import { createLateOrderDetector } from "../src/cell/late-order-detector.js";
import { createPollBudget } from "../src/cell/poll-budget.js";
import type { WorkerSession } from "../src/cell/worker-session.js";
import { createWorkerSession } from "../src/cell/worker-session.js";
import type { TaskName } from "../src/model/task-name.js";
import type { PollOrder, ReportedRun, WorkerGateway } from "../src/port/worker-gateway.js";

/** A poll that a worker got. */
interface ReceivedPoll extends PollOrder {
    readonly worker: string;
    /** Monotonic time in ms. */
    readonly at: number;
}

const clockOffset = 500_000;
/** Milliseconds until a worker's answer arrives. */
const usualResponseTime = 5;
const run: ReportedRun = { task: "j.0.0.0" as TaskName, run: 1, checkpoint: "", percent: 1, measure: 1 };

describe("polls of the workers of a holder", () => {
    let stop: StopSignal;
    let processDelay: number;
    let isBusy: boolean;
    let isSilent: boolean;
    let responseTime: number;
    /** Number of stop orders. */
    let stops: number;
    let polls: ReceivedPoll[];
    /** Number of polls without an answer, and the largest such number so far. */
    let underWay: { now: number; most: number; };
    let reported: readonly ReportedRun[];
    /** Monotonic time in ms at which waiting polls are answered, as if a run had ended; Infinity for none. */
    let endAt: number;

    const answerPoll = async (worker: string, poll: PollOrder): ReturnType<WorkerGateway["poll"]> => {
        const { wait = 0 } = poll;
        const now = performance.now();
        polls.push({ ...poll, worker, at: now });
        if (wait === 0) {
            underWay = { now: underWay.now + 1, most: Math.max(underWay.most, underWay.now + 1) };
        }
        await sleep(isSilent ? wait + 1_000 : responseTime + Math.min(wait, endAt < now ? Infinity : endAt - now));
        if (wait === 0) {
            underWay.now -= 1;
        }
        return isSilent
            ? Result.err({ kind: "unknown", message: "no answer" })
            : Result.ok({
                clock: clockOffset + performance.now(),
                bornAt: 1,
                running: reported,
                ended: [],
                hasAllEnds: true,
            });
    };
    const gateway: WorkerGateway = {
        start: async () => {
            await sleep(1_000);
            return Result.err({ kind: "unknown", message: "no answer" });
        },
        stop: async () => {
            stops += 1;
            await sleep(1_000);
            return Result.err({ kind: "unknown", message: "no answer" });
        },
        poll: ({ id }, order) => answerPoll(id, order),
        throttle: async () => {
            underWay = { now: underWay.now + 1, most: Math.max(underWay.most, underWay.now + 1) };
            await sleep(responseTime);
            underWay.now -= 1;
            return Result.ok(0);
        },
        disconnect: () => undefined,
    };
    /** Creates the sessions of a holder with this many workers, as after loading a cell; they run at once. */
    const createSessions = (count: number): readonly WorkerSession[] => {
        const lateOrderDetector = createLateOrderDetector();
        const pollBudget = createPollBudget();
        return [...Array(count).keys()].map(number => {
            const session = createWorkerSession({
                entry: {
                    id: `w-${String(number)}` as WorkerId,
                    address: `w-${String(number)}:1`,
                    service: "desk" as ServiceId,
                    failureDomain: "east-a" as FailureDomainId,
                    rack: "r-1",
                    labels: [],
                    capacity: { cpu: 16_000, memory: 64_000, accelerators: 0 },
                    isDraining: false,
                    bornAt: 1,
                },
                epoch: 3,
                timing: { longestLease: 10_000, stopTime: 900, retention: 1, clockDrift: 0.02, lateOrderTime: 12_000 },
                logger: pino({ level: "silent" }),
                gateway,
                events: {
                    onReport: () => undefined,
                    onRestarted: () => undefined,
                    onLapsed: () => undefined,
                    onFenced: () => undefined,
                    onContactChange: () => undefined,
                },
                isBusy: () => isBusy,
                mayInterfere: () => true,
                lateOrderDetector,
                inheritedLeases: () => ({ until: 0, lateUntil: 0 }),
                mayExtendLease: () => true,
                processDelay: () => processDelay,
                pollBudget,
            });
            void session.run(stop.signal);
            return session;
        });
    };
    /** Number of polls a second over the next five seconds. */
    const pollRate = async (): Promise<number> => {
        polls = [];
        await jest.advanceTimersByTimeAsync(5_000);
        return polls.length / 5;
    };
    /** Proves the lease of the cell to all workers, and extends their leases. */
    const extendLeases = async (sessions: readonly WorkerSession[]): Promise<void> => {
        const proofs = sessions.map(session => session.beginProof());
        await jest.advanceTimersByTimeAsync(responseTime);
        proofs.forEach(proof => {
            proof();
        });
        sessions.forEach(session => void session.extendLease());
    };

    beforeEach(() => {
        jest.useFakeTimers();
        stop = createStopSignal();
        processDelay = 0;
        isBusy = true;
        isSilent = false;
        responseTime = usualResponseTime;
        stops = 0;
        polls = [];
        underWay = { now: 0, most: 0 };
        reported = [run];
        endAt = Infinity;
    });
    afterEach(() => {
        stop.abort();
        jest.useRealTimers();
    });

    // Guards against a holder whose processor is saturated by polls alone (issue 38): 160 workers, 0.12 of a core.
    it("become fewer while the process is late", async () => {
        createSessions(160);
        await jest.advanceTimersByTimeAsync(2_000);
        processDelay = 300;
        await jest.advanceTimersByTimeAsync(1_000);
        expect(await pollRate()).toBeLessThanOrEqual(120);
        isBusy = false;
        await jest.advanceTimersByTimeAsync(3_000);
        expect(await pollRate()).toBeLessThanOrEqual(40);
    });

    // Guards against late reports on interference, and late ends, on holders that keep up.
    it("stay as frequent as the control of interference needs on a process that keeps up", async () => {
        createSessions(160);
        processDelay = 60;
        await jest.advanceTimersByTimeAsync(2_000);
        expect(await pollRate()).toBeGreaterThanOrEqual(160 / (0.4 + 0.025 + responseTime / 1_000) * 0.97);
    });

    // Guards against an end that is noticed only with the longer wait.
    it("are answered at the end of a run also while the process is late", async () => {
        processDelay = 500;
        endAt = performance.now() + 1_300;
        createSessions(1);
        await jest.advanceTimersByTimeAsync(1_300);
        expect(polls.at(-1)?.wait).toBeGreaterThan(1_300);
        polls = [];
        await jest.advanceTimersByTimeAsync(responseTime + 125);
        expect(polls).toHaveLength(1);
    });

    // Guards against 160 calls, each with a new connection, at the moment in which a cell has been loaded (issue 38).
    it("go out a few at a time after a cell was loaded, first to workers with an unanswered start", async () => {
        const expected = ["w-140", "w-150", "w-159"];
        const sessions = createSessions(160);
        expected.forEach(id => {
            const session = sessions.find(candidate => candidate.id === id);
            session?.expectStart({ task: run.task, run: run.run, orderedAt: performance.now() - 1_000 });
        });
        await jest.advanceTimersByTimeAsync(1);
        expect(underWay.most).toBeLessThanOrEqual(16);
        expect(new Set(polls.slice(0, 3).map(({ worker }) => worker))).toEqual(new Set(expected));
        await jest.advanceTimersByTimeAsync(200);
        expect(underWay.most).toBeLessThanOrEqual(16);
        expect(sessions.filter(session => session.contact() === "known")).toHaveLength(160);
    });

    // Guards against workers that don't answer keeping the others of a loaded cell from being polled.
    it("reach all workers of a loaded cell within 2.5 s although none answers", async () => {
        isSilent = true;
        createSessions(160);
        await jest.advanceTimersByTimeAsync(2_500);
        expect(new Set(polls.map(({ worker }) => worker)).size).toBe(160);
    });

    // Guards against inherited starts whose many polls keep the other workers of a loaded cell from being polled.
    it("reach all workers of a loaded cell in time although 60 have pending starts and answers are read late", async () => {
        responseTime = 300;
        processDelay = 300;
        reported = [];
        createSessions(160).slice(0, 60).forEach(session => {
            session.expectStart({ task: run.task, run: run.run, orderedAt: performance.now() - 100 });
        });
        await jest.advanceTimersByTimeAsync(2_600);
        expect(new Set(polls.map(({ worker }) => worker)).size).toBe(160);
    });

    // Guards against unanswered starts that multiply the polls of their workers although they were carried out.
    it("don't become more frequent for an unanswered start that the worker lists as carried out", async () => {
        const sessions = createSessions(160);
        sessions.forEach(session => {
            session.expectStart({ task: run.task, run: run.run, orderedAt: performance.now() - 1_000 });
        });
        await jest.advanceTimersByTimeAsync(1_000);
        expect(await pollRate()).toBeLessThanOrEqual(160 / 0.4);
        // Starts that may still be carried out need a poll each 200 ms.
        reported = [];
        sessions.slice(0, 10).forEach(session => {
            session.expectStart({ task: "j.0.0.1" as TaskName, run: 1, orderedAt: performance.now() - 1_000 });
        });
        isBusy = false;
        await jest.advanceTimersByTimeAsync(1_000);
        polls = [];
        await jest.advanceTimersByTimeAsync(2_000);
        expect(polls.filter(({ worker }) => worker === "w-9").length).toBeGreaterThanOrEqual(9);
    });

    // Guards against polls of pending starts that open ever more connections while answers can't be read (issue 38).
    it("for pending starts are bounded while nobody answers", async () => {
        const sessions = createSessions(160);
        await jest.advanceTimersByTimeAsync(2_000);
        await Promise.all([
            extendLeases(sessions),
            jest.advanceTimersByTimeAsync(1_000),
        ]);
        sessions.forEach(session => {
            session.expectStart({ task: "j.0.0.1" as TaskName, run: 1, orderedAt: performance.now() });
        });
        await jest.advanceTimersByTimeAsync(1_000);
        isSilent = true;
        processDelay = 500;
        await jest.advanceTimersByTimeAsync(1_000);
        expect(await pollRate()).toBeLessThanOrEqual(80);
    });

    // Guards against repeated stops of hundreds of unanswered starts that saturate a holder which can't read the answers.
    it("leave processor time while hundreds of stops are repeated", async () => {
        const sessions = createSessions(160);
        await jest.advanceTimersByTimeAsync(1_000);
        sessions.forEach(session => {
            void session.stop("j.0.0.1" as TaskName, 1);
            void session.stop("j.0.0.2" as TaskName, 1);
        });
        expect(stops).toBe(320);
        await jest.advanceTimersByTimeAsync(1_000);
        stops = 0;
        await jest.advanceTimersByTimeAsync(5_000);
        expect(stops / 5).toBeLessThanOrEqual(80);
    });

    // Guards against a pace order for each spare-CPU task at the moment in which a holder has got its first reports.
    it("leave processor time while the paces of many runs are set", async () => {
        const sessions = createSessions(160);
        await jest.advanceTimersByTimeAsync(1_000);
        underWay.most = 0;
        const paced = Promise.all(sessions.map(session => session.throttle(run.task, run.run, 100)));
        await jest.advanceTimersByTimeAsync(100);
        expect(await paced).toEqual(Array(160).fill(true));
        expect(underWay.most).toBeLessThanOrEqual(16);
    });

    // Guards against leases that lapse since their extensions queue behind other polls.
    it("that extend leases go before all others, and are bounded too", async () => {
        isSilent = true;
        const sessions = createSessions(160);
        await jest.advanceTimersByTimeAsync(1_000);
        isSilent = false;
        await jest.advanceTimersByTimeAsync(3_000);
        polls = [];
        underWay.most = 0;
        await extendLeases(sessions);
        await jest.advanceTimersByTimeAsync(200);
        expect(underWay.most).toBeLessThanOrEqual(32);
        expect(polls.filter(({ deadline }) => deadline !== undefined)).toHaveLength(160);
    });
});
