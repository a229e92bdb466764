import type { CellId, HostId, JobId } from "@jayfront/world";
import { failureDomainId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { rankHosts } from "../src/entry/rank-hosts.js";
import { createStep } from "../src/model/create-step.js";
import type { CellCandidate } from "../src/policy/rank-cells.js";
import { rankCells } from "../src/policy/rank-cells.js";

const cell = (id: string, changes: Partial<CellCandidate> = {}): CellCandidate => ({
    cell: id as CellId,
    capacityCpu: 100_000,
    usedCpu: 50_000,
    backlog: [],
    racks: [`r-${id}`],
    sentCpu: 0,
    isNear: true,
    ...changes,
});

describe("the order of cells for a workflow", () => {
    it.each([
        ["the less loaded first", [cell("a"), cell("b", { usedCpu: 20_000 })], 0, "b"],
        ["what was sent since counts", [cell("a", { sentCpu: 60_000 }), cell("b")], 0, "b"],
        ["waiting work counts", [cell("a", { backlog: [4e8] }), cell("b")], 0, "b"],
        [
            "waiting work of a lower priority does not",
            [cell("a", { backlog: [0, 9e9] }), cell("b", { usedCpu: 51_000 })],
            0,
            "a",
        ],
        ["the near one at equal load", [cell("a", { isNear: false }), cell("b")], 0, "b"],
    ])("%s", (...[, candidates, priority, expected]) => {
        expect(rankCells([createStep()], priority, candidates)[0]).toBe(expected);
    });

    it("puts the rack of the data before load", () => {
        const steps = [createStep({ preferredRack: "r-a" })];
        expect(rankCells(steps, 0, [cell("a", { usedCpu: 99_000 }), cell("b", { usedCpu: 0 })])[0]).toBe("a");
    });
});

describe("the choices of many hosts between two heartbeats", () => {
    const workflows = 90;
    const hosts = 38;
    const between = 20;
    const cells = 6;
    const step = createStep({ count: 14, cpu: 6_400, isLasting: true });
    const demand = step.count * step.cpu;
    /** Share of the site's processors that all of them ask for. */
    const siteLoad = 0.8;
    const capacityCpu = demand * workflows / cells / siteLoad;

    // Guards against a cell that fills up while others are empty: hosts that know the same all chose the same, so that
    // lasting tasks found no room for good.
    it("ask no cell for more than it holds, although no host knows what the others choose", () => {
        const used = new Map([...Array(cells).keys()].map(number => [`c-${String(number)}`, 0]));
        for (let first = 0; first < workflows; first += between) {
            const known = new Map(used);
            const sent = new Map<string, number>();
            for (let number = first; number < Math.min(workflows, first + between); number += 1) {
                const host = number * 7 % hosts;
                const candidates = [...known].map(([id, usedCpu]) =>
                    cell(id, { capacityCpu, usedCpu, sentCpu: sent.get(`${String(host)} ${id}`) ?? 0 })
                );
                const job = number.toString(16).padStart(16, "0") as JobId;
                const [chosen = ""] = rankCells([step], 0, candidates, job);
                used.set(chosen, (used.get(chosen) ?? 0) + demand);
                sent.set(`${String(host)} ${chosen}`, (sent.get(`${String(host)} ${chosen}`) ?? 0) + demand);
            }
        }
        const loads = [...used.values()].map(usedCpu => usedCpu / capacityCpu);
        expect(Math.max(...loads)).toBeLessThanOrEqual(1);
        expect(Math.min(...loads)).toBeGreaterThan(siteLoad / 2);
    });
});

describe("the order of hosts for a cell", () => {
    const host = (id: string, domain: string, changes = {}): Parameters<typeof rankHosts>[2][number] => ({
        id: id as HostId,
        failureDomain: failureDomainId(domain),
        storeDelay: 4,
        processors: 1,
        heldCells: 0,
        ...changes,
    });
    it("takes hosts of its failure domains first, then near the store, then with few cells", () => {
        const order = rankHosts("c" as CellId, [failureDomainId("east")], [
            host("h-west", "west"),
            host("h-far", "east", { storeDelay: 40 }),
            host("h-busy", "east", { heldCells: 1 }),
            host("h-idle", "east"),
        ]);
        expect(order).toEqual(["h-idle", "h-busy", "h-far", "h-west"]);
    });

    // Guards against a cell for all failure domains on a host whose processor can't carry it.
    it("puts much processor before little, and nearness to the store before both", () => {
        const order = rankHosts("all" as CellId, [failureDomainId("east"), failureDomainId("west")], [
            host("h-small", "east", { processors: 0.324 }),
            host("h-far", "west", { processors: 4, storeDelay: 40 }),
            host("h-large", "west", { processors: 1.35 }),
            host("h-middle", "east", { processors: 0.675 }),
        ]);
        expect(order).toEqual(["h-large", "h-middle", "h-small", "h-far"]);
    });

    // Guards against the largest host taking one cell after the other while others hold none.
    it("counts the cells that a host holds against its processor", () => {
        const order = rankHosts("c" as CellId, [failureDomainId("east")], [
            host("h-small", "east", { processors: 0.324 }),
            host("h-large", "east", { processors: 1.35, heldCells: 1 }),
            host("h-full", "east", { processors: 1.35, heldCells: 4 }),
        ]);
        expect(order).toEqual(["h-large", "h-small", "h-full"]);
    });
});
