import { describe, expect, it } from "@jest/globals";

import type { LongRunningStartConditions } from "../src/policy/may-start-long-running.js";
import { mayStartLongRunning } from "../src/policy/may-start-long-running.js";
import { createUrgentReserve } from "../src/policy/urgent-reserve.js";

const facts = (changes: Partial<LongRunningStartConditions>): LongRunningStartConditions => ({
    places: 5,
    roomFreeFor: 100,
    waitingFor: 100,
    urgentCpuAfterStart: 100_000,
    reserve: 50_000,
    ...changes,
});

describe("whether a new lasting task may take room", () => {
    it.each<[string, Partial<LongRunningStartConditions>, boolean]>([
        ["it may where urgent work keeps what it wants", {}, true],
        [
            "it waits where it would take room that urgent work comes and goes in",
            { urgentCpuAfterStart: 40_000 },
            false,
        ],
        ["it takes room that nobody has wanted for a while", { urgentCpuAfterStart: 40_000, roomFreeFor: 2_000 }, true],
        ["it does not wait for ever", { urgentCpuAfterStart: 0, waitingFor: 7_000 }, true],
        ["it can't without a place", { places: 0, roomFreeFor: 9_000, waitingFor: 9_000 }, false],
        ["a single place is kept for a while", { places: 1, roomFreeFor: undefined, urgentCpuAfterStart: 0 }, false],
    ])("%s", (...[, changes, expected]) => {
        expect(mayStartLongRunning(facts(changes))).toBe(expected);
    });
});

/** Ways to admit lasting tasks, by whether they keep room back. */
const admits: Record<string, (facts: LongRunningStartConditions) => boolean> = {
    gated: mayStartLongRunning,
    greedy: ({ places }) => places > 0,
};

/**
 * A pool of 100 cores beside more lasting work than it holds, and urgent work of 4 tasks each 250 ms for 20 s.
 * Answers the share of urgent
 * tasks that started within 100 ms, once the first twelve seconds have shown how much comes.
 */
const playBurst = (admit: (facts: LongRunningStartConditions) => boolean): number => {
    const [total, size, urgentSize] = [100, 10, 3];
    const reserve = createUrgentReserve();
    let lasting = 6;
    let urgentEnds: number[] = [];
    let waiting: number[] = [];
    let served = 0;
    let offered = 0;
    let roomySince: number | undefined;
    for (let now = 0; now < 20_000; now += 50) {
        urgentEnds = urgentEnds.filter(end => end > now);
        // One lasting task ends every 3 s, others wait at all times.
        lasting -= now % 3_000 === 0 && now > 0 ? 1 : 0;
        waiting.push(...(now % 250 === 0 ? Array<number>(4).fill(now) : []));
        reserve.recordDemand((urgentEnds.length + waiting.length) * urgentSize, now);
        const free = (): number => total - lasting * size - urgentEnds.length * urgentSize;
        while (waiting.length > 0 && free() >= urgentSize) {
            const came = waiting[0] ?? now;
            offered += came >= 12_000 ? 1 : 0;
            served += came >= 12_000 && now - came <= 100 ? 1 : 0;
            waiting = waiting.slice(1);
            urgentEnds.push(now + 640);
        }
        const places = (): number => Math.floor(free() / size);
        roomySince = places() >= 2 ? roomySince ?? now : undefined;
        const startLasting = (): boolean =>
            admit({
                places: places(),
                roomFreeFor: roomySince === undefined || places() < 2 ? undefined : now - roomySince,
                waitingFor: 1_000,
                urgentCpuAfterStart: urgentEnds.length * urgentSize + free() - size,
                reserve: reserve.requiredCpu(now),
            });
        while (places() > 0 && startLasting()) {
            lasting += 1;
        }
    }
    return served / (offered + waiting.length);
};

describe("urgent work in bursts beside lasting work that would fill all room", () => {
    it("finds room when it comes", () => {
        expect(playBurst(admits["gated"] ?? (() => true))).toBeGreaterThan(0.95);
        expect(playBurst(admits["greedy"] ?? (() => true))).toBeLessThan(0.75);
    });
});
