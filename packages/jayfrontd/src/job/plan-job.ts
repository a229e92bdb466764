import type {
    CellId,
    Chunk,
    EnvironmentDocument,
    FailureDomainId,
    JobId,
    JobSpecification,
    Resources,
    Worker,
} from "@jayfront/world";
import { addResources, cellOfWorker, fitsResources, noResources, resourceDimensions } from "@jayfront/world";
import { Result } from "true-myth";

import type { JobRefusal } from "./job-refusal.js";

/** A chunk of a planned job: `count` consecutive tasks that `cell` runs. */
export interface PlannedChunk {
    readonly cell: CellId;
    readonly count: number;
}

const maxTasksPerChunk = 250;
/** Limit that applies instead while there are more cells than chunks, so that small jobs use several cells. */
const spreadTasksPerChunk = 100;

interface CellCapacity {
    readonly cell: CellId;
    /** Tasks of the job that fit on the cell's workers at once. */
    readonly tasks: number;
}

/** How many times `needed` fits into `free`. */
const countFits = (needed: Resources, free: Resources): number =>
    Math.floor(Math.min(
        ...resourceDimensions.map(dimension => needed[dimension] <= 0 ? Infinity : free[dimension] / needed[dimension]),
    ));

/** Divides `tasks` into chunks of equal size (the last may be smaller) and spreads them over cells by capacity. */
const planChunks = (tasks: number, cells: readonly CellCapacity[]): readonly PlannedChunk[] => {
    const ordered = [...cells].sort((left, right) => right.tasks - left.tasks || (left.cell < right.cell ? -1 : 1));
    const chunkCount = Math.max(
        1,
        Math.ceil(tasks / maxTasksPerChunk),
        Math.min(ordered.length, Math.ceil(tasks / spreadTasksPerChunk)),
    );
    const size = Math.ceil(tasks / chunkCount);
    const loads = new Map<CellId, number>();
    const chunks: PlannedChunk[] = [];
    for (let first = 0; first < tasks; first += size) {
        const count = Math.min(size, tasks - first);
        const [best] = [...ordered].sort((left, right) =>
            ((loads.get(left.cell) ?? 0) + count) / left.tasks - ((loads.get(right.cell) ?? 0) + count) / right.tasks
        );
        if (best !== undefined) {
            loads.set(best.cell, (loads.get(best.cell) ?? 0) + count);
            chunks.push({ cell: best.cell, count });
        }
    }
    return chunks;
};

/** Why no candidate could run a task even if it ran no other; undefined if one could. */
const explainNeverRunnable = (
    needed: Resources,
    reserved: Resources,
    candidates: readonly Worker[],
): string | undefined => {
    const free = candidates.map(worker => ({ worker, free: addResources(worker.resources, reserved, -1) }));
    if (free.some(entry => fitsResources(needed, entry.free))) {
        return undefined;
    }
    for (const dimension of resourceDimensions) {
        const [largest] = [...free].sort((left, right) => right.free[dimension] - left.free[dimension]);
        if (largest !== undefined && needed[dimension] > largest.free[dimension]) {
            return `${dimension}: a task needs ${String(needed[dimension])}, the largest worker `
                + `(${largest.worker.id}) has ${String(largest.free[dimension])}`;
        }
    }
    return "no single worker has all that a task needs; lower one of cores, memory and accelerators";
};

/** Capacity of each cell that has a live worker on which a task fits. */
const cellCapacities = (
    current: EnvironmentDocument,
    needed: Resources,
    reserved: Resources,
    candidates: readonly Worker[],
): readonly CellCapacity[] => {
    const byCell = new Map<CellId, number>();
    for (const worker of candidates) {
        const cells = current.failureDomains[worker.failureDomain]?.cells;
        const fits = countFits(needed, addResources(worker.resources, reserved, -1));
        if (cells !== undefined && fits > 0 && worker.state === "live") {
            const cell = cellOfWorker(worker.id, worker.failureDomain, cells);
            byCell.set(cell, (byCell.get(cell) ?? 0) + fits);
        }
    }
    return [...byCell].map(([cell, tasks]) => ({ cell, tasks }));
};

/** Divides a job into chunks for the cells whose workers can run its tasks; refused if there are none. */
export const planJob = (
    current: EnvironmentDocument,
    specification: JobSpecification,
    workers: readonly Worker[],
): Result<readonly PlannedChunk[], JobRefusal> => {
    const reserved = Object.values(current.services)
        .reduce<Resources>((sum, service) => addResources(sum, service.endpoint), noResources);
    const domains = specification.failureDomains as FailureDomainId[] | undefined;
    const candidates = workers.filter(worker =>
        current.failureDomains[worker.failureDomain] !== undefined
        && (domains === undefined || domains.includes(worker.failureDomain))
    );
    if (candidates.length === 0) {
        return Result.err({ problem: "no-endpoint", detail: "the live list shows no worker yet" });
    }
    const reason = explainNeverRunnable(specification.resources, reserved, candidates);
    if (reason !== undefined) {
        return Result.err({ problem: "never-runnable", detail: reason });
    }
    const cells = cellCapacities(current, specification.resources, reserved, candidates);
    return cells.length === 0
        ? Result.err({ problem: "no-endpoint", detail: "every worker that could hold a task is leaving" })
        : Result.ok(planChunks(specification.tasks, cells));
};

/** Creates the rows of the planned chunks, with no task started. */
export const createChunks = (job: JobId, plan: readonly PlannedChunk[]): readonly Chunk[] => {
    let first = 0;
    return plan.map(({ cell, count }, number) => {
        const chunk: Chunk = {
            job,
            number,
            cell,
            first,
            count,
            finished: [],
            failed: [],
            cancelled: [],
            inDoubt: [],
            intentUpTo: first,
            evicted: {},
        };
        first += count;
        return chunk;
    });
};
