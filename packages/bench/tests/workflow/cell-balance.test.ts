import { createStep } from "@jayfront/workflow";
import type { CellId } from "@jayfront/world";
import { describe, expect } from "@jest/globals";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { FreeCapacity } from "../../../workflow/src/policy/free-capacity.js";
import { longRunningRoomShare } from "../../../workflow/src/policy/long-running-capacity.js";
import { rankCells, widestStepCpu } from "../../../workflow/src/policy/rank-cells.js";
import { createKnownRedTests } from "../known-red-tests.js";

const { test, checkEntries } = await createKnownRedTests(import.meta.url);

/** A service with one cell a region, or several in one region. */
interface Service {
    readonly name: string;
    readonly cells: number;
    readonly workersPerCell: number;
    readonly hosts: number;
    /** Whether each cell is in a region of its own, along with its share of the hosts. */
    readonly isRegional: boolean;
    /** Long-running tasks of each workflow. */
    readonly tasks: number;
    /** Millicores of a task. */
    readonly cpu: number;
    /** Millicores of a worker. */
    readonly workerCpu: number;
}

const services: readonly Service[] = [
    {
        name: "246 workers in 2 cells",
        cells: 2,
        workersPerCell: 123,
        hosts: 38,
        isRegional: true,
        tasks: 14,
        cpu: 6_400,
        workerCpu: 64_000,
    },
    {
        name: "624 workers in 6 cells",
        cells: 6,
        workersPerCell: 104,
        hosts: 97,
        isRegional: false,
        tasks: 24,
        cpu: 13_000,
        workerCpu: 128_000,
    },
];
const seeds = [0, 1, 2, 3, 4];
/** Share of the CPU of all cells that the workflows request in total. */
const siteLoad = 0.8;
/** Milliseconds in which all workflows arrive, at random times; each day is simulated once with each. */
const arrivalTimes = [3_000, 6_000, 12_000];
/** Milliseconds from a holder's answer with its cell's load until the workflow arrives there: a round trip and more. */
const answerAge = 40;
/** Largest difference allowed between the fullest and the emptiest cell, as a share of a cell's capacity. */
const largestImbalance = 0.1;

interface SimulatedCell {
    readonly id: CellId;
    readonly free: FreeCapacity[];
    /** Waiting tasks. */
    waiting: number;
    /** Millicores in use or waited for after each acceptance, with its time in ms, oldest first. */
    readonly history: { readonly at: number; readonly requested: number; }[];
}

interface Fill {
    /** Share of each cell's CPU that its workflows request. */
    readonly loads: readonly number[];
    /** Number of arrivals after which tasks waited in a cell although another one had room for a whole workflow. */
    readonly waitedBesideRoom: number;
}

/** Lets workflows arrive at random hosts, which rank the cells by their holders' answers; a cell may decline once. */
const fill = (service: Service, seed: number, arrivalTime: number): Fill => {
    const { cells: cellCount, workersPerCell, hosts, isRegional, tasks, cpu, workerCpu } = service;
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const capacityCpu = workersPerCell * workerCpu;
    const step = createStep({ count: tasks, cpu, isLasting: true });
    const demand = widestStepCpu([step]);
    const cells: readonly SimulatedCell[] = Array.from({ length: cellCount }, (...[, number]) => ({
        id: `c-${String(number)}` as CellId,
        free: Array.from({ length: workersPerCell }, () => ({ cpu: workerCpu, memory: Infinity })),
        waiting: 0,
        history: [],
    }));
    const requestedCpu = ({ free, waiting }: SimulatedCell): number =>
        capacityCpu - free.reduce((sum, worker) => sum + worker.cpu, 0) + waiting * cpu;
    const placesOf = ({ free }: SimulatedCell): number =>
        free.reduce((sum, worker) => sum + Math.floor(worker.cpu / cpu), 0);
    const accept = (cell: SimulatedCell): void => {
        for (let task = 0; task < tasks; task += 1) {
            const index = cell.free.findIndex(worker => worker.cpu >= cpu);
            const worker = cell.free[index];
            if (worker === undefined) {
                cell.waiting += 1;
            }
            else {
                cell.free[index] = { ...worker, cpu: worker.cpu - cpu };
            }
        }
    };
    const submit = (at: number): void => {
        const host = Math.floor(draw() * hosts);
        const knownCpu = (cell: SimulatedCell): number =>
            cell.history.findLast(entry => entry.at <= at - answerAge)?.requested ?? 0;
        const candidates = cells.map((cell, number) => ({
            cell: cell.id,
            capacityCpu,
            usedCpu: knownCpu(cell),
            backlog: [],
            racks: [],
            sentCpu: 0,
            isNear: !isRegional || host % cellCount === number,
        }));
        const ranked = rankCells([step], 0, candidates).flatMap(id => cells.find(cell => cell.id === id) ?? []);
        const chosen = ranked.find(cell =>
            requestedCpu(cell) <= knownCpu(cell)
            && longRunningRoomShare([step], {
                    freeByWorker: cell.free,
                    capacityCpu,
                    waitingCpu: cell.waiting * cpu,
                }) >= 1
        ) ?? ranked[0];
        if (chosen !== undefined) {
            accept(chosen);
            chosen.history.push({ at, requested: requestedCpu(chosen) });
        }
    };
    const workflows = Math.floor(cellCount * capacityCpu * siteLoad / demand);
    const arrivals = Array.from({ length: workflows }, () => draw() * arrivalTime).sort((left, right) => left - right);
    let waitedBesideRoom = 0;
    arrivals.forEach(at => {
        submit(at);
        const hasWaiting = cells.some(({ waiting }) => waiting > 0);
        waitedBesideRoom += hasWaiting && Math.max(...cells.map(placesOf)) >= tasks ? 1 : 0;
    });
    return {
        loads: cells.map(cell => requestedCpu(cell) / capacityCpu),
        waitedBesideRoom,
    };
};

describe("cells filled with long-running workflows through many hosts", () => {
    for (const service of services) {
        const days = arrivalTimes.flatMap(arrivalTime => seeds.map(seed => ({ arrivalTime, seed })));

        // Guards against one cell that is full of long-running work, in which lost tasks wait, while another has room.
        test(`differ in load by at most a tenth of their capacity (${service.name})`, async () => {
            const imbalanced = days.flatMap(({ arrivalTime, seed }) => {
                const { loads } = fill(service, seed, arrivalTime);
                const imbalance = Math.max(...loads) - Math.min(...loads);
                return imbalance > largestImbalance ? [{ arrivalTime, seed, imbalance: imbalance.toFixed(3) }] : [];
            });
            expect(imbalanced).toEqual([]);
        });

        // Guards against workflows that a cell without room accepted while another one had room.
        test(`have no workflow that waits while another cell has room (${service.name})`, async () => {
            const waited = days.filter(({ arrivalTime, seed }) =>
                fill(service, seed, arrivalTime).waitedBesideRoom > 0
            );
            expect(waited).toEqual([]);
        });
    }
    checkEntries();
});
