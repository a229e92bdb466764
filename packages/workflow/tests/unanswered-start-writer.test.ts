import type { CellId } from "@jayfront/world";
import { expect, it } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import { createUnansweredStartWriter } from "../src/cell/unanswered-start-writer.js";

// Guards against long-running tasks that wait for a second since one write of the store was refused.
it("repeats a refused write at once while a start waits for it", async () => {
    let calls = 0;
    const stop = new AbortController();
    const writer = createUnansweredStartWriter({
        cell: "c" as CellId,
        lease: {
            check: { table: "cells", partition: "c", key: "holder", version: 1 },
            trackCall: () => () => undefined,
        } as never,
        store: {
            commit: async () => {
                calls += 1;
                return calls === 1 ? Result.err({ kind: "unavailable", message: "503" }) : Result.ok(calls);
            },
        } as never,
        logger: pino({ level: "silent" }),
        snapshot: () =>
            ({
                restartAge: undefined,
                lateSignAge: undefined,
                starts: [{
                    task: "t",
                    run: 1,
                    worker: "w",
                    age: 0,
                    isLasting: true,
                    mayBeDelayed: false,
                    isIncarnationOver: false,
                }],
                hasAllStarts: true,
                epoch: 7,
                absentTasks: [],
                locatedTasks: [],
            }) as never,
    });
    void writer.run(stop.signal);
    await new Promise(resolve => setTimeout(resolve, 10));
    const startedAt = performance.now();
    await writer.store(stop.signal);
    const took = performance.now() - startedAt;
    stop.abort();
    expect(took).toBeLessThan(400);
});
