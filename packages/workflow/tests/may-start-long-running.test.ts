import { describe, expect, it } from "@jest/globals";

import type { LongRunningStartConditions } from "../src/policy/may-start-long-running.js";
import { mayStartLongRunning } from "../src/policy/may-start-long-running.js";
import { createUrgentReserve } from "../src/policy/urgent-reserve.js";

const conditions = (changes: Partial<LongRunningStartConditions>): LongRunningStartConditions => ({
    places: 5,
    roomFreeFor: 100,
    waitingFor: 100,
    urgentCpuAfterStart: 100_000,
    reserve: 50_000,
    ...changes,
});

describe("mayStartLongRunning", () => {
    it.each<[string, Partial<LongRunningStartConditions>, boolean]>([
        ["starts a task where urgent work keeps its reserve", {}, true],
        ["lets a task wait where urgent work would lose its reserve", { urgentCpuAfterStart: 40_000 }, false],
        ["starts a task where the room has been unused for a while", {
            urgentCpuAfterStart: 40_000,
            roomFreeFor: 2_000,
        }, true],
        ["starts a task that has waited too long", { urgentCpuAfterStart: 0, waitingFor: 7_000 }, true],
        ["lets a task wait where there is no room", { places: 0, roomFreeFor: 9_000, waitingFor: 9_000 }, false],
        ["lets a task wait where there is room for only one", {
            places: 1,
            roomFreeFor: undefined,
            urgentCpuAfterStart: 0,
        }, false],
    ])("%s", (...[, changes, expected]) => {
        expect(mayStartLongRunning(conditions(changes))).toBe(expected);
    });
});

/** Admission rules for long-running tasks, with and without a reserve for urgent work. */
const admits: Record<string, (conditions: LongRunningStartConditions) => boolean> = {
    gated: mayStartLongRunning,
    greedy: ({ places }) => places > 0,
};

/**
 * Simulates 20 s of a pool of 100 cores with more long-running work than it can hold, and 4 urgent tasks every 250 ms.
 * Returns the share of urgent tasks, of those submitted after the first 12 s, that started within 100 ms.
 */
const simulateBurst = (admit: (conditions: LongRunningStartConditions) => boolean): number => {
    const [total, size, urgentSize] = [100, 10, 3];
    const reserve = createUrgentReserve();
    let longRunning = 6;
    let urgentEnds: number[] = [];
    let waiting: number[] = [];
    let served = 0;
    let offered = 0;
    let roomySince: number | undefined;
    for (let now = 0; now < 20_000; now += 50) {
        urgentEnds = urgentEnds.filter(end => end > now);
        // A long-running task ends every 3 s; others are always waiting.
        longRunning -= now % 3_000 === 0 && now > 0 ? 1 : 0;
        waiting.push(...(now % 250 === 0 ? Array<number>(4).fill(now) : []));
        reserve.recordDemand((urgentEnds.length + waiting.length) * urgentSize, now);
        const free = (): number => total - longRunning * size - urgentEnds.length * urgentSize;
        while (waiting.length > 0 && free() >= urgentSize) {
            const submittedAt = waiting[0] ?? now;
            offered += submittedAt >= 12_000 ? 1 : 0;
            served += submittedAt >= 12_000 && now - submittedAt <= 100 ? 1 : 0;
            waiting = waiting.slice(1);
            urgentEnds.push(now + 640);
        }
        const places = (): number => Math.floor(free() / size);
        roomySince = places() >= 2 ? roomySince ?? now : undefined;
        const mayStart = (): boolean =>
            admit({
                places: places(),
                roomFreeFor: roomySince === undefined || places() < 2 ? undefined : now - roomySince,
                waitingFor: 1_000,
                urgentCpuAfterStart: urgentEnds.length * urgentSize + free() - size,
                reserve: reserve.requiredCpu(now),
            });
        while (places() > 0 && mayStart()) {
            longRunning += 1;
        }
    }
    return served / (offered + waiting.length);
};

describe("urgent bursts beside long-running work that would take all room", () => {
    it("find room with the reserve, and often none without it", () => {
        expect(simulateBurst(admits["gated"] ?? (() => true))).toBeGreaterThan(0.95);
        expect(simulateBurst(admits["greedy"] ?? (() => true))).toBeLessThan(0.75);
    });
});
