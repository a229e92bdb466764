import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createLeaseExpiry } from "../src/cell/lease-expiry.js";
import { createRunEndQueue } from "../src/cell/run-end-queue.js";
import { createWorkerClock } from "../src/cell/worker-clock.js";

const lease = 5_000;
const drift = 0.02;

describe("deadlines on a worker's clock", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("count from the last proof of the cell's lease, by a reading taken before it was sent", () => {
        const clock = createWorkerClock(lease, drift);
        clock.recordReading(100_000);
        jest.advanceTimersByTime(1_000);
        const completeProof = clock.beginProof();
        jest.advanceTimersByTime(500);
        completeProof();
        // At least 980 ms have passed on the worker's clock until the proof was sent.
        expect(clock.deadline()).toBe(100_980 + lease);
    });

    it("ignore a reading that arrived after the proof was sent", () => {
        const clock = createWorkerClock(lease, drift);
        const completeProof = clock.beginProof();
        clock.recordReading(100_000);
        completeProof();
        expect(clock.deadline()).toBeUndefined();
    });

    // Guards against deadlines by the clock of a former incarnation, whose successor answers a start (issue 56).
    it.each([[103_000, false], [102_940, false], [102_800, true], [40, true]])(
        "tell by a reading of %i after 3 s whether another incarnation has answered: %s",
        (reading, expected) => {
            const clock = createWorkerClock(lease, drift);
            expect(clock.isOfOtherIncarnation(reading, performance.now())).toBe(false);
            clock.recordReading(100_000);
            jest.advanceTimersByTime(3_000);
            expect(clock.isOfOtherIncarnation(reading, performance.now())).toBe(expected);
        },
    );

    it("never move back, and belong to one incarnation of the worker", () => {
        const clock = createWorkerClock(lease, drift);
        clock.recordReading(100_000);
        clock.beginProof()();
        const completeLateProof = clock.beginProof();
        expect(clock.deadline()).toBe(100_000 + lease);
        clock.reset();
        expect(clock.deadline()).toBeUndefined();
        completeLateProof();
        expect(clock.deadline()).toBeUndefined();
    });
});

describe("the expiry of a worker's leases", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const createExpiry = (maxDeliveryDelay = 0): ReturnType<typeof createLeaseExpiry> =>
        createLeaseExpiry({
            longestLease: 6_000,
            clockDrift: drift,
            maxDeliveryDelay: () => maxDeliveryDelay,
            grantedLease: 6_000,
            inherited: () => ({ until: 0, lateUntil: 0 }),
            isGone: () => false,
        });

    it("counts an answered deadline from its answer, with the slowest clock", () => {
        const expiry = createExpiry();
        const confirmDeadline = expiry.recordDeadlineSent(4_900, 1);
        jest.advanceTimersByTime(200);
        const now = performance.now();
        confirmDeadline();
        expect(expiry.expiresAt() - now).toBeCloseTo(5_000);
    });

    it("counts an unanswered deadline from its latest possible arrival if orders may be late", () => {
        const expiry = createExpiry(12_000);
        const now = performance.now();
        expiry.recordDeadlineSent(4_900, 1);
        expect(expiry.expiresAt() - now).toBeCloseTo(17_000);
    });

    // Guards against a wait for a deadline that comes with a lower token than one that the worker has seen.
    it("counts an unanswered deadline from an answer to a later order at the latest", () => {
        const expiry = createExpiry(12_000);
        expiry.recordDeadlineSent(4_900, 1);
        jest.advanceTimersByTime(400);
        expiry.recordToken(1);
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(16_600);
        expiry.recordToken(2);
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(5_000);
    });

    // Guards against two runs of one task: a deadline that the former incarnation would refuse reaches the next one before
    // any other order, and extends the lease there by what its clock allows.
    it("counts a deadline again once the worker has restarted", () => {
        const expiry = createExpiry(12_000);
        expiry.recordDeadlineSent(4_900, 1);
        expiry.recordToken(2);
        jest.advanceTimersByTime(1_000);
        expiry.recordRestart();
        // It may arrive 12 s after it was sent, and then lasts for the longest lease.
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(11_000 + 6_000 / 0.98);
        expiry.recordToken(3);
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(6_000 / 0.98);
    });

    // Guards against two runs of one task (issue 56): a deadline that the new incarnation had answered, before its first report,
    // counted by the clock of the former one, where it was near.
    it("counts an answered deadline by the longest lease if the worker had restarted by then", () => {
        const expiry = createExpiry();
        const first = expiry.recordDeadlineSent(2_000, 1);
        const second = expiry.recordDeadlineSent(2_000, 1);
        first();
        jest.advanceTimersByTime(500);
        // A report of the incarnation that the first one was computed for.
        expiry.recordAlive(performance.now());
        jest.advanceTimersByTime(500);
        second();
        jest.advanceTimersByTime(300);
        expect(expiry.recordRestart()).toEqual({ answered: 1, unanswered: 0 });
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(6_000 / 0.98 - 300);
    });

    // Guards against the same with a deadline that has no answer, of which a later order has not shown yet that it is refused.
    it("counts a deadline without answer from the end of its call by the longest lease after a restart", () => {
        const expiry = createExpiry();
        const ended = expiry.recordDeadlineSent(1_000, 1);
        const former = expiry.recordDeadlineSent(1_000, 1);
        former(false);
        jest.advanceTimersByTime(400);
        expiry.recordAlive(performance.now());
        expiry.recordDeadlineSent(1_000, 1);
        jest.advanceTimersByTime(200);
        ended(false);
        jest.advanceTimersByTime(100);
        expect(expiry.recordRestart()).toEqual({ answered: 0, unanswered: 2 });
        // One call is still under way.
        jest.advanceTimersByTime(300);
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(6_000 / 0.98);
        expiry.recordToken(2);
        jest.advanceTimersByTime(1_000);
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(6_000 / 0.98 - 1_000);
    });

    // Guards against the same under the next holder, which knows of a restart by the entry of the worker.
    it.each([
        // For the rest of 2,000 ms the former holder may not have noticed the restart.
        ["just before the takeover", 500, 1_500 + 7_000],
        ["long before the takeover", 30_000, 7_000],
    ])("counts inherited leases of an incarnation that started %s", (...[, age, expected]) => {
        jest.advanceTimersByTime(60_000);
        const until = performance.now() + 7_000;
        const expiry = createLeaseExpiry({
            longestLease: 6_860,
            clockDrift: drift,
            maxDeliveryDelay: () => 0,
            grantedLease: 4_900,
            inherited: () => ({ until, lateUntil: until }),
            isGone: () => false,
        });
        expiry.recordBirth(performance.now() - age);
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(expected);
        expiry.recordToken(1);
        expect(expiry.expiresAt() - performance.now()).toBeLessThanOrEqual(expected);
    });

    it("never counts more than the longest lease", () => {
        const expiry = createExpiry();
        expiry.recordDeadlineSent(60_000, 1)();
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(6_000 / 0.98);
    });
});

describe("the queue of a worker's ends", () => {
    it("lets the worker forget ends in order, once each is stored", () => {
        const recorded: number[] = [];
        const queue = createRunEndQueue(number => recorded.push(number));
        const first = queue.add(3, 1);
        queue.add(5, 0);
        // Later ends without a write must not release earlier ends whose write is pending.
        expect(recorded).toEqual([]);
        first();
        expect(recorded).toEqual([5]);
    });

    it("accepts each end once", () => {
        const queue = createRunEndQueue(() => undefined);
        queue.add(4, 1);
        expect([3, 4, 5].map(queue.isNew)).toEqual([false, false, true]);
    });

    it("waits for all writes of a report", () => {
        const recorded: number[] = [];
        const queue = createRunEndQueue(number => recorded.push(number));
        const written = queue.add(2, 2);
        written();
        expect(recorded).toEqual([]);
        written();
        expect(recorded).toEqual([2]);
    });
});
