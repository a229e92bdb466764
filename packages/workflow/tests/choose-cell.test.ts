import type { CellId, HostId } from "@jayfront/world";
import { failureDomainId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { rankHosts } from "../src/entry/rank-hosts.js";
import { createStep } from "../src/model/create-step.js";
import type { CellCandidate } from "../src/policy/choose-cell.js";
import { rankCells } from "../src/policy/choose-cell.js";

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
