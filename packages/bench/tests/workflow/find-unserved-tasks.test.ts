import type { ProtocolEvent } from "@jayfront/platform-stand-in";
import type { WorkerGateway } from "@jayfront/workflow";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { Result } from "true-myth";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import { findUnservedTasks } from "../../src/workflow/find-unserved-tasks.js";
import { fullCellsProfile } from "../../src/workflow/full-cells-profile.js";
import type { PlantedFault } from "../../src/workflow/planted-faults.js";
import type { Disturbance } from "../../src/workflow/service-history.js";
import { simulateSeveralCellsDay } from "../../src/workflow/simulate-several-cells-day.js";
import type { SubmittedWorkflow } from "../../src/workflow/submitted-workflow.js";

const id = "00000000000000a1";
const task = `${id}.0.0.0`;
const workflow: SubmittedWorkflow = {
    id,
    taskCount: 1,
    isLasting: true,
    outcomes: ["accepted"],
    answers: [],
    acceptedAt: 1_000,
};
const started = (at: number): ProtocolEvent => ({ kind: "started", at, worker: "w", task, run: 1 });
const ended = (at: number): ProtocolEvent => ({ kind: "ended", at, worker: "w", task, run: 1, how: "failed" });
/** Number of places at a time in ms. */
type PlacesAt = (at: number) => number;
const ample: PlacesAt = () => 2;

describe("findUnservedTasks", () => {
    const endedAt = 30_000;
    const find = (
        events: readonly ProtocolEvent[],
        { placesAt = ample, disturbances = [], changes = {} }: {
            readonly placesAt?: PlacesAt;
            readonly disturbances?: readonly Disturbance[];
            readonly changes?: Partial<SubmittedWorkflow>;
        } = {},
    ): readonly (readonly [number, number])[] => {
        const capacity = Array.from({ length: endedAt / 100 }, (...[, index]) => ({
            at: index * 100,
            // Room in one domain only, and places in two domains together, count the same.
            places: new Map([["a", Math.floor(placesAt(index * 100) / 2)], [
                "b",
                Math.ceil(placesAt(index * 100) / 2),
            ]]),
        }));
        return findUnservedTasks({ ...workflow, ...changes }, { events, service: { capacity, disturbances }, endedAt })
            .map(({ from, until }) => [from, until] as const);
    };

    it.each<[string, readonly ProtocolEvent[], Parameters<typeof find>[1], ReturnType<typeof find>]>([
        ["a task that never ran, from its acceptance", [started(5_000)], {}, [[1_000, 5_000]]],
        ["a task that lost its run, from 6 s after that", [started(2_000), ended(4_000)], {}, [[10_000, 29_900]]],
        ["no task that runs again in time", [started(2_000), ended(4_000), started(13_000)], {}, []],
        ["a task that runs again late", [started(2_000), ended(4_000), started(13_100)], {}, [[10_000, 13_100]]],
        ["no task without room for two", [started(2_000), ended(4_000)], { placesAt: () => 1 }, []],
        [
            "no task that never had room for 3 s without a break",
            [started(2_000), ended(4_000)],
            { placesAt: at => at % 3_000 === 0 ? 1 : 2 },
            [],
        ],
        [
            "a task only from 4 s after the last disturbance",
            [started(2_000), ended(4_000)],
            { disturbances: [{ from: 9_000, until: 9_500 }, { from: 21_000, until: Infinity }] },
            [[13_600, 20_900]],
        ],
        ["no task of a cancelled workflow", [started(2_000), ended(4_000)], { changes: { cancelSentAt: 12_000 } }, []],
        ["no task of a workflow that was not accepted", [], { changes: { acceptedAt: undefined as never } }, []],
        ["no short-lived task", [], { changes: { isLasting: false } }, []],
    ])("finds %s", (...[, events, options, expected]) => {
        expect(find(events, options)).toEqual(expected);
    });
});

/** Milliseconds for which {@link lateRestarts} holds a task back. */
const refusalTime = 12_000;
/** Makes hosts wait with the next start of a task that has run before, as if there was no room for it. */
const lateRestarts: PlantedFault = {
    gateway: (gateway: WorkerGateway) => {
        const refusedSince = new Map<string, number>();
        return {
            ...gateway,
            start: async (worker, order) => {
                if (order.run === 1) {
                    return await gateway.start(worker, order);
                }
                const since = refusedSince.get(order.task) ?? performance.now();
                refusedSince.set(order.task, since);
                return performance.now() - since < refusalTime
                    ? Result.err({ kind: "no-room", message: "planted" })
                    : await gateway.start(worker, order);
            },
        };
    },
};

describe("a day whose cells have ample room for their long-running work", () => {
    const seeds = [0, 1, 2];
    let time: FakeTime;
    beforeEach(() => {
        time = installFakeTime();
    });
    afterEach(() => {
        time.restore();
    });
    const countFindings = async (plantedFault: PlantedFault): Promise<readonly number[]> => {
        const counts: number[] = [];
        for (const seed of seeds) {
            const profile = { ...fullCellsProfile, longRunningLoad: 0.3 };
            const { broken } = await simulateSeveralCellsDay({ seed, time, profile, plantedFault });
            counts.push(broken.filter(({ promise }) => promise === "runs again in time where there is room").length);
            time.restore();
            time = installFakeTime();
        }
        return counts;
    };

    it("has no task that waits", async () => {
        expect(await countFindings({})).toEqual(seeds.map(() => 0));
    });

    // Guards against a check that overlooks long-running tasks which don't run again.
    it("reveals whether tasks that lost their run start late", async () => {
        expect(Math.min(...await countFindings(lateRestarts))).toBeGreaterThan(0);
    });
});
