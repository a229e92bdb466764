import { createHash } from "node:crypto";

import type { CellId, JobId } from "@jayfront/world";

import type { Step } from "../model/step.js";

/** A cell that could take a workflow, as the entry host knows it. */
export interface CellCandidate {
    readonly cell: CellId;
    readonly capacityCpu: number;
    readonly usedCpu: number;
    /** Waiting and running work in thousandths of cores times ms, by priority. */
    readonly backlog: readonly number[];
    readonly racks: readonly string[];
    /** Thousandths of cores that this host has sent there since the figures were taken. */
    readonly sentCpu: number;
    /** Whether the cell is in the region of the entry host. */
    readonly isNear: boolean;
}

/** Milliseconds of waiting work that weigh as much as a cell whose processors are all taken. */
const backlogScale = 4_000;
/** Weight of a cell in another region, in shares of its capacity; its answers cross a slow, narrow link. */
const remoteWeight = 0.03;
/** Weight of a cell without the racks that hold a workflow's data; larger than any difference in load. */
const rackWeight = 10;

/** Weight of a cell without room for the widest step, where others have it; larger than any draw between cells. */
const fullWeight = 2;
/** Difference in load, in shares of a capacity, that makes a draw of a cell e times as likely. */
const drawScale = 0.14;

/** Thousandths of cores that the workflow's widest step asks for. */
export const widestStepCpu = (steps: readonly Step[]): number =>
    Math.max(0, ...steps.map(step => step.count * step.cpu));

const loadOf = (candidate: CellCandidate, priority: number): number => {
    const capacity = Math.max(1, candidate.capacityCpu);
    const waiting = candidate.backlog.slice(0, priority + 1).reduce((sum, work) => sum + work, 0);
    return (candidate.usedCpu + candidate.sentCpu) / capacity + waiting / capacity / backlogScale;
};

const hasRoomFor = ({ capacityCpu, usedCpu, sentCpu }: CellCandidate, demand: number): boolean =>
    capacityCpu - usedCpu - sentCpu >= demand;

/** Shares of a capacity, by which cells are drawn in proportion to exp(-load / drawScale) where the least sum wins. */
const drawOf = (job: JobId, cell: CellId): number => {
    const digest = createHash("sha256").update(`${job} ${cell}`).digest();
    const uniform = (digest.readUInt32BE() + 1) / (2 ** 32 + 1);
    return drawScale * Math.log(-Math.log(uniform));
};

/**
 * Cells in the order in which a workflow should be offered to them. `job` draws among cells, the less loaded the
 * likelier: hosts hear of each other's choices only with the next heartbeats, and would else all choose the same.
 */
export const rankCells = (
    steps: readonly Step[],
    priority: number,
    candidates: readonly CellCandidate[],
    job?: JobId,
): readonly CellId[] => {
    const draws = new Map(
        candidates.map(({ cell }) => [cell, job === undefined ? 0 : drawOf(job, cell)]),
    );
    const wanted = steps.flatMap(step => step.preferredRack === undefined ? [] : [step.preferredRack]);
    const demand = widestStepCpu(steps);
    const cost = (candidate: CellCandidate): number =>
        loadOf(candidate, priority)
        + (hasRoomFor(candidate, demand) ? 0 : fullWeight)
        + (draws.get(candidate.cell) ?? 0)
        + (candidate.isNear ? 0 : remoteWeight)
        + wanted.filter(rack => !candidate.racks.includes(rack)).length * rackWeight;
    return [...candidates].sort((left, right) => cost(left) - cost(right)).map(candidate => candidate.cell);
};
