import { createHash } from "node:crypto";

import type { CellId, JobId } from "@jayfront/world";

import type { Step } from "../model/step.js";
import { farRunLoss } from "./near-wait.js";

/** A cell that may take a workflow, as the entry host sees it. */
export interface CellCandidate {
    readonly cell: CellId;
    /** Millicores of the cell's usable workers. */
    readonly capacityCpu: number;
    /** Millicores in use or requested, as of the cell's last summary. */
    readonly usedCpu: number;
    /** Waiting and running work in millicores times ms, indexed by priority. */
    readonly backlog: readonly number[];
    /** Racks of the cell's usable workers. */
    readonly racks: readonly string[];
    /** Millicores of the workflows' widest steps that this host sent to the cell and `usedCpu` may not include yet. */
    readonly sentCpu: number;
    /** Whether the cell is in the region of the entry host. */
    readonly isNear: boolean;
}

/** Milliseconds of waiting work that count as much as a cell whose CPU is fully used. */
const backlogScale = 4_000;
/** Cost of a cell in another region, as a share of its capacity; cross-region links are slow and narrow. */
const remoteRegionCost = 0.03;
/**
 * Cost of each rack that holds data of the workflow and is missing from the cell, while a cell with that rack has room;
 * exceeds any difference in load.
 */
const missingRackCost = 10;

/** Cost of a cell that has no room for the widest step; exceeds the random part of the cost. */
const noRoomCost = 2;
/** Difference in cost, as a share of capacity, that makes a cell e times as likely to be drawn first. */
const samplingTemperature = 0.14;

/** Millicores requested by all tasks of the workflow's widest step. */
export const widestStepCpu = (steps: readonly Step[]): number =>
    Math.max(0, ...steps.map(step => step.count * step.cpu));

const loadOf = (candidate: CellCandidate, priority: number): number => {
    const capacity = Math.max(1, candidate.capacityCpu);
    const waiting = candidate.backlog.slice(0, priority + 1).reduce((sum, work) => sum + work, 0);
    return (candidate.usedCpu + candidate.sentCpu) / capacity + waiting / capacity / backlogScale;
};

const hasRoomFor = ({ capacityCpu, usedCpu, sentCpu }: CellCandidate, demand: number): boolean =>
    capacityCpu - usedCpu - sentCpu >= demand;

/**
 * Random part of a cell's cost, the same for each call with this job and cell. It is Gumbel noise: the cell with the
 * least sum of cost and noise is drawn with a probability proportional to exp(-cost / samplingTemperature).
 */
const noiseOf = (job: JobId, cell: CellId): number => {
    const digest = createHash("sha256").update(`${job} ${cell}`).digest();
    const uniform = (digest.readUInt32BE() + 1) / (2 ** 32 + 1);
    return samplingTemperature * Math.log(-Math.log(uniform));
};

/**
 * Cells in the order in which a workflow should be offered to them, the cheapest first. With `job`, the order is
 * randomized and favors less loaded cells: entry hosts learn of each other's choices only from the next heartbeats and
 * would otherwise all choose the same cell. Where no cell with the rack of a step has room, a cell without it costs the
 * time that the step's tasks lose there, by `farRunFactor` (see `NearWaitsOptions`), unless they are long-running.
 */
export const rankCells = (
    steps: readonly Step[],
    priority: number,
    candidates: readonly CellCandidate[],
    job?: JobId,
    farRunFactor = 1,
): readonly CellId[] => {
    const noise = new Map(
        candidates.map(({ cell }) => [cell, job === undefined ? 0 : noiseOf(job, cell)]),
    );
    const demand = widestStepCpu(steps);
    const costWithoutRack = ({ preferredRack = "", isLasting, expectedRunTime }: Step): number =>
        farRunFactor <= 1 || isLasting
            || candidates.some(each => each.racks.includes(preferredRack) && hasRoomFor(each, demand))
            ? missingRackCost
            : Math.min(missingRackCost, farRunLoss({ runTime: expectedRunTime, farRunFactor }) / backlogScale);
    const rackCosts = steps.flatMap(step =>
        step.preferredRack === undefined ? [] : [{ rack: step.preferredRack, cost: costWithoutRack(step) }]
    );
    const cost = (candidate: CellCandidate): number =>
        loadOf(candidate, priority)
        + (hasRoomFor(candidate, demand) ? 0 : noRoomCost)
        + (noise.get(candidate.cell) ?? 0)
        + (candidate.isNear ? 0 : remoteRegionCost)
        + rackCosts.reduce((sum, each) => sum + (candidate.racks.includes(each.rack) ? 0 : each.cost), 0);
    return [...candidates].sort((left, right) => cost(left) - cost(right)).map(candidate => candidate.cell);
};
