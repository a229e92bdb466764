import type { HostId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import { Result } from "true-myth";

import { hasProcessEnded } from "../src/entry/has-process-ended.js";
import type { EntryHostRecord } from "../src/peer/host-registry.js";
import type { WorkflowNetwork } from "../src/peer/workflow-network.js";

/** Outcome of a call, after `took` ms. */
interface Outcome {
    readonly kind: "answered" | "not-sent" | "unknown";
    readonly took: number;
}

describe("a host whose connection has closed", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it.each<[string, readonly Outcome[], boolean]>([
        ["refuses connections", [{ kind: "not-sent", took: 2 }, { kind: "not-sent", took: 2 }], true],
        [
            "refuses connections after the old one failed",
            [{ kind: "unknown", took: 5 }, { kind: "not-sent", took: 2 }],
            true,
        ],
        ["answers on a new connection", [{ kind: "not-sent", took: 0 }, { kind: "answered", took: 300 }], false],
        // Guards against a late holder that counts as ended since it accepts connections late.
        [
            "accepts no connection in time",
            [{ kind: "not-sent", took: 1_200 }, { kind: "not-sent", took: 1_200 }],
            false,
        ],
        ["does not answer", [{ kind: "unknown", took: 1_200 }, { kind: "unknown", took: 1_200 }], false],
    ])("%s: its process has ended or not", async (...[, outcomes, expected]) => {
        let calls = 0;
        const network = {
            call: async () => {
                const { kind, took } = outcomes[calls] ?? { kind: "answered", took: 0 };
                calls += 1;
                await sleep(took);
                return kind === "answered" ? Result.ok(true) : Result.err({ kind, message: kind });
            },
        } as unknown as WorkflowNetwork;
        const host = { id: "h-1" as HostId } as EntryHostRecord;
        const ended = hasProcessEnded({ network, self: host, host });
        await jest.advanceTimersByTimeAsync(5_000);
        expect(await ended).toBe(expected);
    });
});
