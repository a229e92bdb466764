import type { FailureDomainId, WorkerId } from "@jayfront/world";
import { createStopSignal } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import type { CellPlan } from "../src/entry/cell-plan.js";
import { readCellPlan } from "../src/entry/cell-plan.js";
import type { WorkerEntry } from "../src/model/worker-entry.js";
import type { StateStore } from "../src/port/state-store.js";

const regions = { "east-a": "east", "east-b": "east", "east-c": "east", "west-a": "west" };
const workersTable = "workers";
const createStore = (workers: readonly WorkerEntry[]): StateStore =>
    ({
        read: (table: string) =>
            Promise.resolve(Result.ok({
                rows: table === workersTable
                    ? workers.map(({ id, failureDomain }) => ({
                        key: id,
                        partition: "",
                        value: failureDomain,
                        version: 1,
                    }))
                    : [],
                version: 1,
            })),
        follow: () => Promise.resolve(Result.ok({ rows: [], version: 1 })),
        commit: () => Promise.resolve(Result.ok(2)),
    }) as unknown as StateStore;
const createWorkers = (counts: Readonly<Record<string, number>>): WorkerEntry[] =>
    Object.entries(counts).flatMap(([domain, count]) =>
        Array.from(
            { length: count },
            (...[, number]) =>
                ({
                    id: `${domain}-${String(number)}` as WorkerId,
                    failureDomain: domain as FailureDomainId,
                }) as WorkerEntry,
        )
    );

describe("the division of workers into cells", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const planFor = async (
        counts: Readonly<Record<string, number>>,
        largestCell: (processors: number) => number,
        processors: readonly number[] = [1],
    ): Promise<CellPlan | undefined> => {
        const { signal } = createStopSignal();
        const read = readCellPlan({
            store: createStore(createWorkers(counts)),
            directory: {
                table: workersTable,
                partition: "",
                decode: ({ key, value }) =>
                    ({ id: key as WorkerId, failureDomain: value as FailureDomainId }) as WorkerEntry,
            },
            rank: () => 0,
            hosts: () =>
                Object.keys(counts).flatMap(failureDomain =>
                    processors.map(cores => ({
                        failureDomain: failureDomain as FailureDomainId,
                        processors: cores,
                    }))
                ),
            regions,
            largestCell,
            logger: pino({ level: "silent" }),
            signal,
        });
        await jest.advanceTimersByTimeAsync(3_000);
        return read;
    };
    // Guards against cells so small that a long-running task waits in a full one, and cells with too many workers for
    // one holder.
    it.each([
        {
            name: "one cell for a small site",
            counts: { "east-a": 3, "east-b": 3, "east-c": 3, "west-a": 3 },
            largestCell: () => 12,
        },
        {
            name: "a cell for each region",
            counts: { "east-a": 3, "east-b": 3, "east-c": 3, "west-a": 3 },
            largestCell: () => 9,
        },
        {
            name: "cells of even size for a large region",
            counts: { "east-a": 3, "east-b": 3, "east-c": 3, "west-a": 3 },
            largestCell: () => 5,
        },
        {
            name: "a cell for each domain",
            counts: { "east-a": 3, "east-b": 3, "east-c": 3, "west-a": 3 },
            largestCell: () => 0,
        },
    ])("is $name", async ({ counts, largestCell }) => {
        expect(await planFor(counts, largestCell)).toMatchSnapshot();
    });

    // Guards against one cell whose holder has too little processor time for all workers, while other hosts are idle.
    it.each([
        { name: "one cell where one host can hold all workers", processors: [1.4, 0.3], cells: 1 },
        { name: "a cell for each region where its strongest hosts can hold that many", processors: [1, 0.3], cells: 2 },
        { name: "a cell for each domain where all hosts are weak", processors: [0.1, 0.1], cells: 4 },
    ])("is $name", async ({ processors, cells }) => {
        const counts = { "east-a": 30, "east-b": 30, "east-c": 30, "west-a": 30 };
        const plan = await planFor(counts, cores => cores * 100, processors);
        expect(plan?.cells.length).toBe(cells);
    });
});
