import { jobId, workerId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { WorkerHealth } from "../src/worker-health.js";
import { createWorkerHealth } from "../src/worker-health.js";

const workers = ["a", "b", "c", "d"].map(workerId);
const [bad, good] = [workerId("a"), workerId("b")];
const job = jobId("job");

describe("worker health", () => {
    let health: WorkerHealth;
    beforeEach(() => {
        jest.useFakeTimers();
        health = createWorkerHealth();
        workers.forEach(worker => {
            health.recordEnd(worker, jobId("earlier"), false);
        });
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("allows a worker on which all tasks fail at most 10 starts before its quarantine", () => {
        let startCount = 0;
        while (!health.isQuarantined(bad) && startCount < 100) {
            const allowed = health.allowance(bad);
            for (let start = 0; start < allowed; start += 1) {
                health.recordStart(bad);
                startCount += 1;
            }
            for (let end = 0; end < allowed; end += 1) {
                health.recordEnd(bad, job, true);
                health.recordEnd(good, job, false);
            }
            jest.advanceTimersByTime(2_000);
        }
        expect(startCount).toBeLessThanOrEqual(10);
        expect(health.allowance(bad)).toBe(0);
    });

    it("distinguishes a job that fails on all workers from a failing worker", () => {
        for (const worker of workers) {
            health.recordEnd(worker, job, true);
        }
        expect(health.isPoison(job)).toBe(true);
        expect(workers.some(health.isQuarantined)).toBe(false);
    });

    it("probes a worker after its quarantine and doubles the next quarantine", () => {
        for (let failure = 0; failure < 4; failure += 1) {
            health.recordEnd(bad, job, true);
        }
        expect(health.isQuarantined(bad)).toBe(true);
        jest.advanceTimersByTime(30_001);
        expect(health.allowance(bad)).toBe(1);
        health.recordEnd(bad, job, true);
        jest.advanceTimersByTime(30_001);
        expect(health.isQuarantined(bad)).toBe(true);
        jest.advanceTimersByTime(30_001);
        expect(health.isQuarantined(bad)).toBe(false);
    });

    it("limits how many workers are quarantined at a time", () => {
        for (const worker of workers) {
            for (let failure = 0; failure < 10; failure += 1) {
                health.recordEnd(worker, jobId(`job-${String(failure)}`), true);
            }
        }
        expect(workers.filter(health.isQuarantined)).toHaveLength(1);
    });
});
