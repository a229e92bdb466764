import type { CellId, FailureDomainId } from "@jayfront/world";
import { cellId, sleep } from "@jayfront/world";
import type { Logger } from "pino";
import { z } from "zod";

import { rowKeys } from "../cell/row-keys.js";
import { createWorkerList } from "../cell/worker-list.js";
import type { WorkerEntry } from "../model/worker-entry.js";
import type { EntryHostRecord } from "../peer/host-registry.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkerDirectory } from "../port/worker-directory.js";

/** Schema of the row that assigns failure domains to cells. */
const cellPlan = z.object({
    cells: z.array(z.object({
        cell: z.string().transform(value => value as CellId),
        failureDomains: z.array(z.string().transform(value => value as FailureDomainId)),
    })).min(1),
});

/** Assignment of failure domains, with all their workers, to cells; written once, before any cell is held. */
export type CellPlan = z.infer<typeof cellPlan>;

/** Options of {@link readCellPlan}. */
export interface CellPlanOptions {
    readonly store: StateStore;
    readonly directory: WorkerDirectory;
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    /** The entry hosts known so far, this one included. */
    readonly hosts: () => readonly Pick<EntryHostRecord, "failureDomain" | "processors">[];
    /** Maximum number of workers of a cell with several failure domains, held by a host with `processors` cores. */
    readonly largestCell: (processors: number) => number;
    /** Rank of this host, from 0, in the order in which hosts write the plan; the first lists the workers for all. */
    readonly rank: () => number;
    readonly logger: Logger;
    readonly signal: AbortSignal;
}

/** Cell that has all failure domains. */
const globalCell = "all" as CellId;
/** Milliseconds between attempts to read or write the plan. */
const retryInterval = 250;
/** Milliseconds of extra delay per rank before a host lists the workers to write the plan itself. */
const rankDelay = 2_500;
/** Milliseconds without growth after which the list of workers counts as complete; longer than a worker's heartbeat. */
const stableListTime = 1_500;

/** Splits a list into `count` consecutive parts of about the same length. */
const splitEvenly = <Item>(items: readonly Item[], count: number): readonly (readonly Item[])[] =>
    Array.from(
        { length: count },
        (...[, part]) =>
            items.slice(Math.round(part * items.length / count), Math.round((part + 1) * items.length / count)),
    );

/** The least number of parts that meets `isEnough` and into which failure domains divide evenly. */
const evenPartCount = (domains: number, isEnough: (parts: number) => boolean): number => {
    const divisors = Array.from({ length: domains }, (...[, index]) => index + 1).filter(part => domains % part === 0);
    return divisors.find(isEnough) ?? domains;
};

/** Name of a cell; unique even if a failure domain has the name of a region. */
const cellName = (region: string, [first, ...others]: readonly FailureDomainId[]): CellId =>
    first !== undefined && others.length === 0 ? cellId(first, 0) : `${region}/${String(first)}` as CellId;

/** Processor cores of the weakest of the `count` strongest hosts, which hold the first `count` cells. */
const weakestHolder = (hosts: readonly Pick<EntryHostRecord, "processors">[], count: number): number =>
    hosts.map(({ processors }) => processors).toSorted((left, right) => right - left).slice(0, count).at(-1) ?? 0;

/** One cell for all workers if one host can hold it; else as few cells per region as its hosts allow. */
const createPlan = (
    workers: readonly WorkerEntry[],
    { regions, hosts, largestCell }: Pick<CellPlanOptions, "regions" | "hosts" | "largestCell">,
): CellPlan => {
    const failureDomains = Object.keys(regions) as FailureDomainId[];
    const allHosts = hosts();
    if (workers.length <= largestCell(weakestHolder(allHosts, 1))) {
        return { cells: [{ cell: globalCell, failureDomains }] };
    }
    const cells = [...new Set(Object.values(regions))].flatMap(region => {
        const domains = failureDomains.filter(domain => regions[domain] === region);
        const size = workers.filter(worker => domains.includes(worker.failureDomain)).length;
        const localHosts = allHosts.filter(host => domains.includes(host.failureDomain));
        const candidates = localHosts.length > 0 ? localHosts : allHosts;
        const parts = evenPartCount(
            domains.length,
            count => size <= count * largestCell(weakestHolder(candidates, count)),
        );
        return splitEvenly(domains, parts).map(part => ({ cell: cellName(region, part), failureDomains: [...part] }));
    });
    return { cells };
};

/**
 * Waits for the plan and reads it; the host that ranks first writes it, and others do if it fails to. Resolves to
 * undefined if `signal` aborts first. Throws if the plan's row is invalid.
 */
export const readCellPlan = async (options: CellPlanOptions): Promise<CellPlan | undefined> => {
    const { store, directory, rank, logger, signal } = options;
    const key = rowKeys.cellPlan;
    const list = createWorkerList({ store, directory });
    const startedAt = performance.now();
    /** Largest number of workers listed so far, and the monotonic time in ms at which it last grew. */
    let maxListed = -1;
    let grewAt = 0;
    while (!signal.aborted) {
        const read = await store.read(key.table, key.partition, key.key);
        const [row] = read.isOk ? read.value.rows : [];
        if (row !== undefined) {
            return cellPlan.parse(JSON.parse(row.value));
        }
        const isTurn = performance.now() - startedAt >= rank() * rankDelay;
        const workers = read.isOk && isTurn ? await list.update() : undefined;
        if (workers?.isOk === true && workers.value.length > maxListed) {
            maxListed = workers.value.length;
            grewAt = performance.now();
        }
        if (workers?.isOk === true && maxListed > 0 && performance.now() - grewAt >= stableListTime) {
            const plan = createPlan(workers.value, options);
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
