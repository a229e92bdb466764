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

describe("rankCells", () => {
    it.each([
        ["ranks the less loaded cell first", [cell("a"), cell("b", { usedCpu: 20_000 })], 0, "b"],
        [
            "counts work that this host has sent since the last summary",
            [cell("a", { sentCpu: 60_000 }), cell("b")],
            0,
            "b",
        ],
        ["counts waiting work", [cell("a", { backlog: [4e8] }), cell("b")], 0, "b"],
        [
            "ignores waiting work of a lower priority",
            [cell("a", { backlog: [0, 9e9] }), cell("b", { usedCpu: 51_000 })],
            0,
            "a",
        ],
        ["ranks a cell in the same region first at equal load", [cell("a", { isNear: false }), cell("b")], 0, "b"],
    ])("%s", (...[, candidates, priority, expected]) => {
        expect(rankCells([createStep()], priority, candidates)[0]).toBe(expected);
    });

    it("prefers the rack of the data to a lower load", () => {
        const steps = [createStep({ preferredRack: "r-a" })];
        expect(rankCells(steps, 0, [cell("a", { usedCpu: 99_000 }), cell("b", { usedCpu: 0 })])[0]).toBe("a");
    });

    // Guards against a cell in which all workflows of a hot rack queue up while others are idle.
    it.each([
        ["another cell once work waits there for longer than a run elsewhere loses", 2e8, 1.5, 1_000, "b"],
        ["the rack of the data while the wait there is shorter", 4e7, 1.5, 1_000, "a"],
        ["the rack of the data where racks make no difference", 2e8, 1, 1_000, "a"],
        ["the rack of the data where it has room", 2e8, 1.5, 100, "a"],
    ])("prefers %s", (...[, work, farRunFactor, cpu, expected]) => {
        const steps = [createStep({ preferredRack: "r-a", cpu, expectedRunTime: 1_000 })];
        const cells = [cell("a", { usedCpu: 99_500, backlog: [work] }), cell("b", { usedCpu: 99_500 })];
        expect(rankCells(steps, 0, cells, undefined, farRunFactor)[0]).toBe(expected);
    });
});

describe("rankCells on many entry hosts between two heartbeats", () => {
    const workflows = 90;
    const hosts = 38;
    /** Workflows submitted between two heartbeats. */
    const submissionsPerHeartbeat = 20;
    const cells = 6;
    const step = createStep({ count: 14, cpu: 6_400, isLasting: true });
    const demand = step.count * step.cpu;
    /** Share of the CPU of all cells that the workflows request in total. */
    const siteLoad = 0.8;
    const capacityCpu = demand * workflows / cells / siteLoad;

    // Guards against a cell that fills up while others are empty: hosts with the same figures all chose the same cell,
    // in which long-running tasks then never found room.
    it("overloads no cell, although no host knows what the others choose", () => {
        const used = new Map([...Array(cells).keys()].map(number => [`c-${String(number)}`, 0]));
        for (let first = 0; first < workflows; first += submissionsPerHeartbeat) {
            const reported = new Map(used);
            const sent = new Map<string, number>();
            for (let number = first; number < Math.min(workflows, first + submissionsPerHeartbeat); number += 1) {
                const host = number * 7 % hosts;
                const candidates = [...reported].map(([id, usedCpu]) =>
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

describe("rankHosts", () => {
    const regions = { "east-a": "east", "east-b": "east", west: "west", south: "south" };
    const host = (id: string, domain: string, changes = {}): Parameters<typeof rankHosts>[1][number] => ({
        id: id as HostId,
        failureDomain: failureDomainId(domain),
        storeDelay: 4,
        processors: 1,
        heldCells: 0,
        ...changes,
    });
    const locationOf = (...domains: readonly string[]): Parameters<typeof rankHosts>[0] => ({
        cell: "c" as CellId,
        failureDomains: domains.map(failureDomainId),
        regions,
    });
    it.each([
        {
            name: "by region, then by distance to the store, then by the number of cells held",
            domains: ["east-a"],
            hosts: [
                host("h-west", "west", { storeDelay: 60 }),
                host("h-south", "south", { storeDelay: 40, heldCells: 1 }),
                host("h-busy", "east-a", { heldCells: 1 }),
                host("h-idle", "east-a"),
            ],
            expected: ["h-idle", "h-busy", "h-south", "h-west"],
        },
        {
            name: "a cell of all failure domains by distance to the store, then by CPU",
            domains: ["east-a", "west"],
            hosts: [
                host("h-small", "east-a", { processors: 0.324 }),
                host("h-far", "west", { processors: 4, storeDelay: 40 }),
                host("h-large", "west", { processors: 1.35, storeDelay: 28 }),
                host("h-middle", "east-a", { processors: 0.675 }),
            ],
            expected: ["h-middle", "h-small", "h-far", "h-large"],
        },
        // Guards against cells that gather on the hosts that measured the store while it was fast and they were idle.
        {
            name: "hosts of one region by the cells that they hold, whatever each has measured",
            domains: ["east-a"],
            hosts: [
                host("h-early", "east-a", { storeDelay: 12, heldCells: 2 }),
                host("h-late", "east-a", { storeDelay: 17, heldCells: 1 }),
                host("h-slow-store", "east-b", { storeDelay: 108 }),
                host("h-near", "west", { storeDelay: 3 }),
            ],
            expected: ["h-slow-store", "h-late", "h-early", "h-near"],
        },
        // Guards against all cells going to the largest host while other hosts hold none.
        {
            name: "by the cells that a host holds against its CPU",
            domains: ["east-a"],
            hosts: [
                host("h-small", "east-a", { processors: 0.324 }),
                host("h-large", "east-a", { processors: 1.35, heldCells: 1 }),
                host("h-full", "east-a", { processors: 1.35, heldCells: 4 }),
            ],
            expected: ["h-large", "h-small", "h-full"],
        },
        // Guards against a cell that a weak host beside its workers takes while strong hosts of the region are idle.
        {
            name: "a strong host of the region before a weak one beside the workers",
            domains: ["east-a"],
            hosts: [
                host("h-weak", "east-a", { processors: 0.324 }),
                host("h-strong", "east-b", { processors: 1.35 }),
                host("h-west", "west", { processors: 4 }),
            ],
            expected: ["h-strong", "h-weak", "h-west"],
        },
        {
            name: "a host beside the workers before an equal one elsewhere in the region",
            domains: ["east-a"],
            hosts: [host("h-other", "east-b", { processors: 1.1 }), host("h-beside", "east-a")],
            expected: ["h-beside", "h-other"],
        },
    ])("ranks $name", ({ domains, hosts, expected }) => {
        expect(rankHosts(locationOf(...domains), hosts)).toEqual(expected);
    });
});
