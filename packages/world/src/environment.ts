import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "use lower-case letters, digits and dashes");

const resources = z.strictObject({
    cores: z.number().positive(),
    /** GB. */
    memory: z.number().positive(),
    accelerators: z.int().min(0).default(0),
});

const service = z.strictObject({
    /** Team under whose limits and metrics the service counts. */
    team: name,
    /** Target for the 99th percentile of the latency that callers see, in milliseconds. */
    targetMs: z.number().positive(),
    /** Milliseconds after which a request is answered as not run or as of unknown outcome. */
    deadlineMs: z.number().positive().default(5_000),
    /** Whether a request may be sent again when its outcome is unknown. */
    idempotent: z.boolean().default(true),
    /** Resources that the endpoint reserves on each worker. */
    endpoint: resources,
    /** Largest number of requests that wait in each cell. */
    queue: z.int().min(0).max(10_000).default(64),
});

const batchClass = z.strictObject({
    /** Whether attempts can be checkpointed and resumed. */
    checkpoints: z.boolean().default(true),
    /** Number of failed attempts after which a task is not started again. */
    attempts: z.int().min(1).max(20).default(4),
    /** Largest number of evictions of one task. */
    evictions: z.int().min(0).max(20).default(2),
});

const team = z.strictObject({
    /** Weight of the team's share of contended resources, relative to other teams. */
    weight: z.number().positive().default(1),
    /** Largest share of all resources that the team's batch tasks may hold, from 0 to 1. */
    quota: z.number().positive().max(1).default(1),
});

const failureDomain = z.strictObject({
    region: name,
    /** Number of cells into which the workers are divided; must not change once the domain is in use. */
    cells: z.int().min(1).max(512).default(6),
});

const limits = z.strictObject({
    /** Requests per second that a host admits of each team; a burst of one second is allowed. */
    requestsPerTeam: z.int().positive().default(5_000),
    /** Limit of retries as a share of requests, from 0 to 1. */
    retryShare: z.number().min(0).max(1).default(0.1),
    /** Bytes per second that the requests of each host may transfer to and from other regions. */
    regionBytes: z.int().positive().default(200_000),
});

/** Schema of the document by which operators configure an environment. */
export const environmentDocument = z.strictObject({
    teams: z.record(name, team),
    services: z.record(name, service),
    batchClasses: z.record(name, batchClass),
    failureDomains: z.record(name, failureDomain),
    limits: limits.prefault({}),
}).superRefine((document, context) => {
    for (const [key, entry] of Object.entries(document.services)) {
        if (document.teams[entry.team] === undefined) {
            context.addIssue({
                code: "custom",
                path: ["services", key, "team"],
                message: `team "${entry.team}" is not declared; add [teams.${entry.team}] or name a declared team`,
            });
        }
        if (entry.targetMs > entry.deadlineMs) {
            context.addIssue({
                code: "custom",
                path: ["services", key, "targetMs"],
                message: `targetMs is above deadlineMs (${
                    String(entry.deadlineMs)
                }); raise deadlineMs or lower targetMs`,
            });
        }
    }
});

/** A valid document by which operators configure an environment. */
export type EnvironmentDocument = z.infer<typeof environmentDocument>;

/** An accepted environment document. */
export interface Environment {
    /** Increases with each accepted document. */
    readonly version: number;
    readonly document: EnvironmentDocument;
    /** The TOML text of the document, unchanged. */
    readonly text: string;
}
