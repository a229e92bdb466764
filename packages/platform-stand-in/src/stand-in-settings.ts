import { z } from "zod";

/** A group of equal workers of one failure domain. */
const workerGroup = z.strictObject({
    failureDomain: z.string().min(1),
    count: z.int().min(1).max(5_000),
    cores: z.number().positive(),
    /** GB. */
    memory: z.number().positive(),
    accelerators: z.int().min(0).default(0),
    /** Requests that a worker executes at a time. */
    slots: z.int().positive().default(8),
    /** Connections that may be open to a worker at a time. */
    connections: z.int().positive().default(64),
    /** Number of workers in a rack. */
    rack: z.int().positive().default(8),
});

/** Schema of the stand-in's settings file, in TOML. */
export const standInSettings = z.strictObject({
    /** Port of the table service, object store and live list; 0 for any free port. */
    port: z.int().min(0).max(65_535).default(0),
    /** Seed of the random numbers. */
    seed: z.int().default(1),
    /** Milliseconds after which the live list shows a change. */
    listLag: z.int().min(0).default(2_000),
    /** Milliseconds between the end of a usage window and its report. */
    reportLag: z.int().min(0).default(2_000),
    workers: z.array(workerGroup).min(1),
    /** Simulated behaviour of services and tasks, as in `HiddenBehaviour`. */
    hidden: z.strictObject({
        services: z.record(z.string(), z.strictObject({ median: z.number().positive(), spread: z.number().min(1) })),
        disturbance: z.record(z.string(), z.number().min(0)).default({}),
        reserved: z.strictObject({
            cores: z.number().min(0),
            memory: z.number().min(0),
            accelerators: z.number().min(0).default(0),
        }),
    }),
});

/** Settings of a stand-in process. */
export type StandInSettings = z.infer<typeof standInSettings>;
