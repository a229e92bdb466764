import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import type { WorkerLease } from "../src/worker-lease.js";
import { createWorkerLease } from "../src/worker-lease.js";

const adopt = (lease: WorkerLease, epoch: number, term: number, holder: string): string | undefined =>
    lease.adopt({ fence: { epoch, term }, holder, lease: 3_000, taskLease: 20_000 });

describe("a worker's lease", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("is acquired by a larger epoch at once", () => {
        const lease = createWorkerLease();
        expect(adopt(lease, 1, 1, "a")).toBeUndefined();
        expect(adopt(lease, 2, 1, "b")).toBeUndefined();
        expect(lease.renew({ epoch: 1, term: 1 })).toBe("stale-fence 2.1");
    });

    it("is never acquired by a smaller epoch", () => {
        const lease = createWorkerLease();
        adopt(lease, 2, 1, "b");
        jest.advanceTimersByTime(60_000);
        expect(adopt(lease, 1, 9, "a")).toBe("stale-fence 2.1");
    });

    it("is acquired by another holder of the same epoch only after it has expired", () => {
        const lease = createWorkerLease();
        adopt(lease, 1, 1, "a");
        expect(adopt(lease, 1, 2, "b")).toBe("stale-fence 1.1");
        jest.advanceTimersByTime(3_001);
        expect(adopt(lease, 1, 1, "b")).toBe("stale-fence 1.1");
        expect(adopt(lease, 1, 2, "b")).toBeUndefined();
    });

    it("refuses commands of an earlier term of the same holder", () => {
        const lease = createWorkerLease();
        adopt(lease, 1, 1, "a");
        adopt(lease, 1, 2, "a");
        expect(lease.isCurrent({ epoch: 1, term: 1 })).toBe(false);
        expect(lease.isCurrent({ epoch: 1, term: 2 })).toBe(true);
    });

    it("lets the lease of the tasks expire without renewals", () => {
        const lease = createWorkerLease();
        adopt(lease, 1, 1, "a");
        jest.advanceTimersByTime(19_000);
        lease.renew({ epoch: 1, term: 1 });
        jest.advanceTimersByTime(19_000);
        expect(lease.hasTaskLeaseLapsed()).toBe(false);
        jest.advanceTimersByTime(1_001);
        expect(lease.hasTaskLeaseLapsed()).toBe(true);
    });
});
