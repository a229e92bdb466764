import { z } from "zod";

const address = z.string().regex(/^[0-9a-f.:[\]]+:\d{1,5}$/, 'write IP:port, for example "127.0.0.1:8080"');
const identifier = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "use lower-case letters, digits and dashes");
const milliseconds = (initial: number): z.ZodDefault<z.ZodInt> => z.int().min(1).max(3_600_000).default(initial);

/** Schema of the settings file of jayfrontd. */
export const settingsSchema = z.strictObject({
    host: z.strictObject({
        /** Name of this entry host, unique among all. */
        id: identifier,
        /** Failure domain of the host, as the environment document names it. */
        failureDomain: identifier,
        /** Environment whose document the host follows. */
        environment: identifier.default("production"),
        /** `IP:port` on which callers and operators are served. */
        address,
        /** `IP:port` on which other entry hosts are served. */
        peerAddress: address,
    }),
    platform: z.strictObject({
        /** `IP:port` of the table service, object store and live list. */
        address,
        /** Milliseconds without an answer after which the outcome of a call to the store counts as unknown. */
        storeTimeout: milliseconds(2_000),
        /** Milliseconds without an answer after which the outcome of a call to a worker counts as unknown. */
        workerTimeout: milliseconds(1_000),
    }),
    security: z.strictObject({
        /** Key that entry hosts share to authenticate each other; 32 characters or more. */
        peerKey: z.string().min(32, "write 32 characters or more, the same on all entry hosts"),
        /** Tokens that operators may present; 16 characters or more each. */
        operatorTokens: z.array(z.string().min(16, "write 16 characters or more")).min(1),
        /** Certificates; without this table, connections of callers and peers are plain TCP. */
        tls: z.strictObject({
            /** File of the certificate chain, PEM. */
            certificateFile: z.string(),
            /** File of the private key, PEM. */
            keyFile: z.string(),
            /** File of the authority that signs the peers' certificates, PEM. */
            authorityFile: z.string(),
        }).optional(),
    }),
    timing: z.strictObject({
        /** Milliseconds between heartbeats to peers of the same failure domain. */
        heartbeat: milliseconds(500),
        /** Milliseconds between heartbeats to peers of other failure domains. */
        remoteHeartbeat: milliseconds(2_000),
        /** Milliseconds without a heartbeat after which a peer of the same failure domain counts as down. */
        hostTimeout: milliseconds(1_500),
        /** Duration of a worker lease in milliseconds. */
        lease: milliseconds(3_000),
        /** Milliseconds without renewal after which a worker stops its tasks. */
        taskLease: milliseconds(20_000),
        /** Milliseconds between renewals of worker leases. */
        renewal: milliseconds(1_000),
        /** Milliseconds between writes of outcomes. */
        flush: milliseconds(10_000),
        /** Milliseconds between reads of a cell's chunks. */
        chunkPoll: milliseconds(10_000),
        /** Milliseconds between reads of the environment's version by the poller of a failure domain. */
        environmentPoll: milliseconds(1_000),
        /** Milliseconds between reads of the live list. */
        liveListPoll: milliseconds(2_000),
        /** Milliseconds between rounds of task starts. */
        startInterval: milliseconds(100),
        /** Milliseconds between two handovers of cells by one host. */
        handoverSpacing: milliseconds(1_000),
        /** Milliseconds that a stopping host reports not ready before it hands over cells and refuses new requests. */
        drainNotice: milliseconds(1_000),
        /** Milliseconds that a stopping host waits for requests in flight. */
        drainDeadline: milliseconds(30_000),
    }).prefault({}),
    limits: z.strictObject({
        /** Maximum length of a request body in bytes. */
        bodyBytes: z.int().positive().default(64 * 1_024 * 1_024),
        /** Maximum length in bytes of a request body that is buffered, so that the request can be retried. */
        replayBytes: z.int().min(0).default(64 * 1_024),
        /** Maximum length in bytes of a recorded answer to a non-idempotent request. */
        recordedAnswerBytes: z.int().min(0).default(16 * 1_024),
        /** Maximum number of requests that one host handles at a time. */
        requests: z.int().positive().default(4_000),
    }).prefault({}),
    connections: z.strictObject({
        /** MB that the process may use; callers' requests, connections and waiting jobs get an eighth each, or of the heap. */
        memoryMb: z.number().positive().default(512),
        /** Descriptors that the process may open; callers' connections get half of those above 200, unknown peers a quarter. */
        fileDescriptors: z.int().positive().default(4_096),
        /** Maximum number of requests of one connection that are unanswered or whose answers are unread; over it, closed. */
        requestsPerConnection: z.int().positive().default(64),
        /** Milliseconds from the start of a request until its header is complete; then 408. */
        headerTime: milliseconds(20_000),
        /** Milliseconds from the start of a request until it is complete; then 408. */
        requestTime: milliseconds(60_000),
        /** Milliseconds for which a connection may be idle, or its answers unread, before it is closed; never while a request is handled. */
        idleTime: milliseconds(60_000),
    }).prefault({}),
    log: z.strictObject({
        level: z.enum(["trace", "debug", "info", "warn", "error", "silent"]).default("info"),
    }).prefault({}),
});

/** Settings of one jayfrontd process. */
export type Settings = z.infer<typeof settingsSchema>;
