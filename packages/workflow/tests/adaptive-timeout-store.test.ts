import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import { Registry } from "prom-client";

import type { StateStore } from "../src/port/state-store.js";
import { createAdaptiveTimeoutStore } from "../src/store/adaptive-timeout-store.js";
import { createWorkflowMetrics } from "../src/workflow-metrics.js";

describe("the store of a host that holds several cells", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    // Guards against a cell whose reconnection ends the read by which another cell of the host proves its lease.
    it("reconnects once for all of them", () => {
        let reconnections = 0;
        const store = createAdaptiveTimeoutStore({
            store: {
                limits: { entries: 100, bytes: 1_000_000, valueBytes: 65_536 },
                reconnect: () => {
                    reconnections += 1;
                },
            } as Partial<StateStore> as StateStore,
            metrics: createWorkflowMetrics(new Registry()),
        });
        store.reconnect();
        jest.advanceTimersByTime(3);
        store.reconnect();
        const together = reconnections;
        jest.advanceTimersByTime(1_000);
        store.reconnect();
        expect([together, reconnections]).toEqual([1, 2]);
    });
});
