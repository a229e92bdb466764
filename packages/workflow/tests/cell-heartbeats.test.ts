import type { CellId, HostId } from "@jayfront/world";
import { expect, it } from "@jest/globals";
import { Result } from "true-myth";

import type { WorkflowCell } from "../src/cell/workflow-cell.js";
import { createCellClaims } from "../src/entry/cell-claims.js";
import { createCellHeartbeats } from "../src/entry/cell-heartbeats.js";
import type { EntryHostRecord } from "../src/peer/host-registry.js";
import type { WorkflowNetwork } from "../src/peer/workflow-network.js";

const cell = "all" as CellId;

/** Interval that a holder announces to a watcher, in ms, if its timers are `delay` ms late. */
const announcedInterval = (delay: number): number | undefined => {
    let interval: number | undefined;
    const watcher = { id: "h-2" as HostId } as EntryHostRecord;
    const network = {
        call: (...[, , body]: [unknown, unknown, { readonly interval: number; }]) => {
            interval = body.interval;
            return Promise.resolve(Result.ok(true));
        },
    } as unknown as WorkflowNetwork;
    createCellHeartbeats({
        self: { id: "h-1" as HostId } as EntryHostRecord,
        network,
        claims: createCellClaims({ lateTime: () => 0 }),
        peers: () => [watcher],
        held: () => [{ cell, summary: () => ({ cell, epoch: 1, accepted: [] }) } as unknown as WorkflowCell],
        successors: () => [watcher.id],
        configurationVersion: () => 1,
        processDelay: () => delay,
    }).sendToAll();
    return interval;
};

// Guards against a late holder that announces heartbeats which it can't send, so that its peers take its cell.
it.each([
    { delay: 0, interval: 400 },
    { delay: 300, interval: 700 },
    { delay: 5_000, interval: 1_000 },
])("a holder whose timers are $delay ms late announces heartbeats every $interval ms", ({ delay, interval }) => {
    expect(announcedInterval(delay)).toBe(interval);
});
