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
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(16_000);
        expiry.recordToken(3);
        expect(expiry.expiresAt() - performance.now()).toBeCloseTo(6_000 / 0.98);
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
