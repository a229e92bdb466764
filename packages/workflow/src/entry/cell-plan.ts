import type { CellId, FailureDomainId } from "@jayfront/world";
import { cellId, sleep } from "@jayfront/world";
import type { Logger } from "pino";
import { z } from "zod";

import { rowKeys } from "../cell/row-keys.js";
import { createWorkerList } from "../cell/worker-list.js";
import type { WorkerEntry } from "../model/worker-entry.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkerDirectory } from "../port/worker-directory.js";

/** Schema of the row that says how workers are divided into cells. */
const cellPlan = z.object({
    cells: z.array(z.object({
        cell: z.string().transform(value => value as CellId),
        failureDomains: z.array(z.string().transform(value => value as FailureDomainId)),
    })).min(1),
});

/** How workers are divided into cells; written once, before any cell is held. */
export type CellPlan = z.infer<typeof cellPlan>;

/** Options of {@link readCellPlan}. */
export interface CellPlanOptions {
    readonly store: StateStore;
    readonly directory: WorkerDirectory;
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    /** Workers that a cell of several failure domains may have. */
    readonly largestCell: number;
    /** Place of this host in the order in which hosts write the plan; the first one reads the list of workers for all. */
    readonly rank: () => number;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

/** Cell that serves all failure domains. */
const singleCell = "all" as CellId;
/** Milliseconds between tries. */
const retryInterval = 250;
/** Milliseconds by which each next host waits longer before it reads the list of workers itself. */
const rankDelay = 2_500;
/** Milliseconds for which the list of workers must not grow before it is taken to be complete: a heartbeat and more. */
const settleTime = 1_500;

/** Splits a list into `count` runs of about the same length. */
const splitEvenly = <Item>(items: readonly Item[], count: number): readonly (readonly Item[])[] =>
    Array.from(
        { length: count },
        (...[, part]) =>
            items.slice(Math.round(part * items.length / count), Math.round((part + 1) * items.length / count)),
    );

/** The least number of parts, `wanted` or more, into which failure domains divide evenly. */
const evenParts = (domains: number, wanted: number): number => {
    const divisors = Array.from({ length: domains }, (...[, index]) => index + 1).filter(part => domains % part === 0);
    return divisors.find(part => part >= wanted) ?? domains;
};

/** Name of a cell, which no other one has even where failure domains are called like regions. */
const cellOf = (region: string, [first, ...others]: readonly FailureDomainId[]): CellId =>
    first !== undefined && others.length === 0 ? cellId(first, 0) : `${region}/${String(first)}` as CellId;

/** One cell for all where it is small enough; else as few for each region as its failure domains allow. */
const divide = (
    workers: readonly WorkerEntry[],
    { regions, largestCell }: Pick<CellPlanOptions, "regions" | "largestCell">,
): CellPlan => {
    const failureDomains = Object.keys(regions) as FailureDomainId[];
    if (workers.length <= largestCell) {
        return { cells: [{ cell: singleCell, failureDomains }] };
    }
    const cells = [...new Set(Object.values(regions))].flatMap(region => {
        const domains = failureDomains.filter(domain => regions[domain] === region);
        const size = workers.filter(worker => domains.includes(worker.failureDomain)).length;
        const parts = evenParts(domains.length, Math.ceil(size / largestCell));
        return splitEvenly(domains, parts).map(part => ({ cell: cellOf(region, part), failureDomains: [...part] }));
    });
    return { cells };
};

/** Reads the plan; the first host of an order writes it. Undefined where `signal` aborts first. */
export const readCellPlan = async (options: CellPlanOptions): Promise<CellPlan | undefined> => {
    const { store, directory, rank, logger, signal } = options;
    const key = rowKeys.cellPlan;
    const list = createWorkerList({ store, directory });
    const startedAt = performance.now();
    let known = -1;
    let grewAt = 0;
    while (!signal.aborted) {
        const read = await store.read(key.table, key.partition, key.key);
        const [row] = read.isOk ? read.value.rows : [];
        if (row !== undefined) {
            return cellPlan.parse(JSON.parse(row.value));
        }
        const isTurn = performance.now() - startedAt >= rank() * rankDelay;
        const workers = read.isOk && isTurn ? await list.update() : undefined;
        if (workers?.isOk === true && workers.value.length > known) {
            known = workers.value.length;
            grewAt = performance.now();
        }
        if (workers?.isOk === true && known > 0 && performance.now() - grewAt >= settleTime) {
            const plan = divide(workers.value, options);
            const value = JSON.stringify(plan);
            const written = await store.commit({ checks: [{ ...key, version: 0 }], writes: [{ ...key, value }] });
            if (written.isOk) {
                logger.info({ workers: workers.value.length, cells: plan.cells.length }, "cell plan written");
                return plan;
            }
        }
        await sleep(retryInterval, signal);
    }
    return undefined;
};
