import { randomUUID } from "node:crypto";

import type { Platform, PlatformError, TableRow } from "@jayfront/platform";
import type {
    CellId,
    Chunk,
    EnvironmentDocument,
    IndexRanges,
    Job,
    JobId,
    JobSpecification,
    Worker,
} from "@jayfront/world";
import { countIndices, jobId, jobSpecification } from "@jayfront/world";
import { Result } from "true-myth";

import { commitOnce, tableKeys } from "../cell/cell-store.js";
import type { JobRefusal } from "./job-refusal.js";
import { createChunks, planJob } from "./plan-job.js";

/** Progress of a job according to the table, which lags by up to one interval between writes of outcomes. */
export interface JobStatus {
    readonly id: JobId;
    /** `in-doubt` while a task is in doubt; else `cancelling` until all tasks of a cancelled job are settled. */
    readonly state: "accepted" | "settled" | "cancelling" | "in-doubt";
    readonly team: string;
    readonly tasks: number;
    readonly finished: number;
    readonly failed: number;
    readonly cancelled: number;
    /** Indices of tasks that may have run without a known outcome; `jayfront job resolve` settles them. */
    readonly inDoubt: IndexRanges;
    readonly chunks: readonly { readonly cell: CellId; readonly tasks: number; readonly settled: number; }[];
}

/** Accepts and cancels jobs and reports their progress. */
export interface JobManager {
    /** Checks a job, divides it into chunks and stores both; `key` makes the call idempotent. */
    readonly submit: (body: unknown, key: string | undefined) => Promise<Result<Job, JobRefusal>>;
    /** Reads the job's progress. */
    readonly status: (job: JobId) => Promise<Result<JobStatus, JobRefusal>>;
    /** Marks a job as cancelled and orders the holders of its cells to stop it. */
    readonly cancel: (job: JobId) => Promise<Result<Job, JobRefusal>>;
    /** Orders the cell's holder to settle a task in doubt or to run it again. */
    readonly resolve: (
        job: JobId,
        index: number,
        as: "finished" | "failed" | "run-again",
    ) => Promise<Result<Job, JobRefusal>>;
    /** Reads the job's row. */
    readonly read: (job: JobId) => Promise<Result<Job, JobRefusal>>;
}

/** Options of {@link createJobManager}. */
export interface JobManagerOptions {
    readonly platform: Platform;
    /** The environment document in force; undefined while none is known. */
    readonly document: () => EnvironmentDocument | undefined;
    /** Workers of all failure domains. */
    readonly workers: () => readonly Worker[];
    /** Notifies the holders of cells that rows of these cells have changed. */
    readonly notifyHolders: (cells: readonly CellId[]) => void;
    /** Creates the id of a new job. Default: a random UUID. */
    readonly newId?: (() => string) | undefined;
}

const storeRefusal = (error: PlatformError): JobRefusal => ({
    problem: error.kind === "unknown" ? "store-unknown" : "store-unavailable",
});

/** Creates a job manager. */
export const createJobManager = (
    { platform, document, workers, notifyHolders, newId = randomUUID }: JobManagerOptions,
): JobManager => {
    const { table } = platform;

    const checkReferences = (current: EnvironmentDocument, specification: JobSpecification): JobRefusal | undefined => {
        if (current.teams[specification.team] === undefined) {
            return { problem: "unknown-team", detail: `team "${specification.team}"` };
        }
        if (current.batchClasses[specification.batchClass] === undefined) {
            return { problem: "unknown-class", detail: `batch class "${specification.batchClass}"` };
        }
        const unknown = specification.failureDomains?.find(domain => current.failureDomains[domain] === undefined);
        return unknown === undefined ? undefined : { problem: "unknown-domain", detail: `failure domain "${unknown}"` };
    };
    /** Reads the job stored under the key; refused with `key-reused` if its specification differs from `job`'s. */
    const readJobOfKey = async (rowKey: string, job: Job): Promise<Result<Job, JobRefusal>> => {
        const id = await table.get<JobId>(rowKey);
        if (id.isErr || id.value === undefined) {
            return Result.err({ problem: "store-unknown" });
        }
        const earlier = await read(id.value.value);
        const isSame = earlier.isErr
            || JSON.stringify(earlier.value.specification) === JSON.stringify(job.specification);
        return isSame ? earlier : Result.err({ problem: "key-reused" });
    };
    const storeJob = async (
        job: Job,
        chunks: readonly Chunk[],
        key: string | undefined,
    ): Promise<Result<Job, JobRefusal>> => {
        const rowKey = key === undefined ? undefined : tableKeys.jobKey(job.specification.team, key);
        const keyWrites = rowKey === undefined ? [] : [{ key: rowKey, value: job.id }];
        const committed = await commitOnce(
            table,
            [{ key: tableKeys.job(job.id), version: 0 }, ...keyWrites.map(write => ({ key: write.key, version: 0 }))],
            [
                { key: tableKeys.job(job.id), value: job },
                ...keyWrites,
                ...chunks.map(chunk => ({ key: tableKeys.chunk(chunk.cell, job.id, chunk.number), value: chunk })),
            ],
        );
        if (committed.isOk) {
            notifyHolders(job.chunks);
            return Result.ok(job);
        }
        if (committed.error.kind === "conflict" && rowKey !== undefined) {
            return readJobOfKey(rowKey, job);
        }
        return Result.err(storeRefusal(committed.error));
    };
    const readRow = async (job: JobId): Promise<Result<TableRow<Job>, JobRefusal>> => {
        const row = await table.get<Job>(tableKeys.job(job));
        if (row.isErr) {
            return Result.err(storeRefusal(row.error));
        }
        return row.value === undefined ? Result.err({ problem: "unknown-job", detail: job }) : Result.ok(row.value);
    };
    const read = async (job: JobId): Promise<Result<Job, JobRefusal>> => (await readRow(job)).map(row => row.value);
    const readChunk = async (
        job: Job,
        number: number,
        settled: readonly Chunk[],
    ): Promise<Result<Chunk, JobRefusal>> => {
        const outcome = settled.find(chunk => chunk.number === number);
        if (outcome !== undefined) {
            return Result.ok(outcome);
        }
        const cell = job.chunks[number];
        const row = cell === undefined
            ? undefined
            : await table.get<Chunk>(tableKeys.chunk(cell, job.id, number));
        if (row?.isOk === true && row.value !== undefined) {
            return Result.ok(row.value.value);
        }
        if (row?.isErr === true) {
            return Result.err(storeRefusal(row.error));
        }
        // The chunk was settled after the outcomes had been read.
        const outcomeRow = await table.get<Chunk>(tableKeys.outcome(job.id, number));
        return outcomeRow.isOk && outcomeRow.value !== undefined
            ? Result.ok(outcomeRow.value.value)
            : Result.err({ problem: "store-unknown" });
    };
    const summarize = (job: Job, chunks: readonly Chunk[]): JobStatus => {
        const count = (field: "finished" | "failed" | "cancelled"): number =>
            chunks.reduce((sum, chunk) => sum + countIndices(chunk[field]), 0);
        const [finished, failed, cancelled] = [count("finished"), count("failed"), count("cancelled")];
        const inDoubt = chunks.flatMap(chunk => chunk.inDoubt);
        const isSettled = finished + failed + cancelled === job.specification.tasks;
        return {
            id: job.id,
            state: isSettled ? "settled" : inDoubt.length > 0 ? "in-doubt" : job.cancelled ? "cancelling" : "accepted",
            team: job.specification.team,
            tasks: job.specification.tasks,
            finished,
            failed,
            cancelled,
            inDoubt,
            chunks: chunks.map(chunk => ({
                cell: chunk.cell,
                tasks: chunk.count,
                settled: countIndices(chunk.finished) + countIndices(chunk.failed) + countIndices(chunk.cancelled),
            })),
        };
    };
    return {
        read,
        submit: async (body, key) => {
            const current = document();
            if (current === undefined) {
                return Result.err({ problem: "not-ready" });
            }
            const parsed = jobSpecification.safeParse(body);
            if (!parsed.success) {
                const detail = parsed.error.issues
                    .map(issue => `${issue.path.join(".") || "job"}: ${issue.message}`)
                    .join("; ");
                return Result.err({ problem: "invalid-request", detail });
            }
            const refusal = checkReferences(current, parsed.data);
            if (refusal !== undefined) {
                return Result.err(refusal);
            }
            const planned = planJob(current, parsed.data, workers());
            if (planned.isErr) {
                return Result.err(planned.error);
            }
            const id = jobId(newId());
            const job: Job = {
                id,
                specification: parsed.data,
                acceptedAt: Date.now(),
                chunks: planned.value.map(chunk => chunk.cell),
                cancelled: false,
            };
            return storeJob(job, createChunks(id, planned.value), key);
        },
        status: async id => {
            const job = await read(id);
            if (job.isErr) {
                return Result.err(job.error);
            }
            const settled = await table.scan<Chunk>(tableKeys.outcomesOfJob(id));
            if (settled.isErr) {
                return Result.err(storeRefusal(settled.error));
            }
            const outcomes = settled.value.map(row => row.value);
            const chunks: Chunk[] = [];
            for (const number of job.value.chunks.keys()) {
                const chunk = await readChunk(job.value, number, outcomes);
                if (chunk.isErr) {
                    return Result.err(chunk.error);
                }
                chunks.push(chunk.value);
            }
            return Result.ok(summarize(job.value, chunks));
        },
        cancel: async id => {
            const row = await readRow(id);
            if (row.isErr) {
                return Result.err(row.error);
            }
            const job: Job = { ...row.value.value, cancelled: true };
            if (row.value.value.cancelled) {
                return Result.ok(job);
            }
            const cells = [...new Set(job.chunks)];
            const committed = await commitOnce(table, [{ key: tableKeys.job(id), version: row.value.version }], [
                { key: tableKeys.job(id), value: job },
                ...cells.map(cell => ({
                    key: tableKeys.order(cell, `cancel-${id}`),
                    value: { kind: "cancel", job: id },
                })),
            ]);
            if (committed.isErr) {
                return Result.err(
                    committed.error.kind === "conflict" ? { problem: "conflict" } : storeRefusal(committed.error),
                );
            }
            notifyHolders(cells);
            return Result.ok(job);
        },
        resolve: async (id, index, as) => {
            const job = await read(id);
            if (job.isErr) {
                return job;
            }
            const chunks = await Promise.all(
                job.value.chunks.map((cell, number) => table.get<Chunk>(tableKeys.chunk(cell, id, number))),
            );
            const chunk = chunks
                .flatMap(row => row.isOk && row.value !== undefined ? [row.value.value] : [])
                .find(candidate => candidate.inDoubt.some(([from, to]) => index >= from && index < to));
            if (chunk === undefined) {
                return Result.err({ problem: "invalid-request", detail: `task ${String(index)} is not in doubt` });
            }
            const key = tableKeys.order(chunk.cell, `resolve-${id}-${String(index)}`);
            const committed = await commitOnce(table, [], [{ key, value: { kind: "resolve", job: id, index, as } }]);
            if (committed.isErr) {
                return Result.err(storeRefusal(committed.error));
            }
            notifyHolders([chunk.cell]);
            return job;
        },
    };
};
