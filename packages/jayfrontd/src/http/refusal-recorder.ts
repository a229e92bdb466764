import type { Logger } from "pino";
import type { Registry } from "prom-client";
import { Counter } from "prom-client";

/** Why a request was refused or a connection closed. */
export type ConnectionRefusal =
    | "too-many-connections"
    | "sent-ahead"
    | "memory"
    | "late-request"
    | "malformed-request"
    | "stranger";

/** Counts refusals, by port and reason. */
export type RefusalCounter = Counter<"port" | "reason">;

/** Options of {@link createRefusalRecorder}. */
export interface RefusalRecorderOptions {
    /** Name of the port, for the log and the counter. */
    readonly port: string;
    readonly counter: RefusalCounter;
    readonly logger: Logger;
}

/** Milliseconds between two log lines of one reason. */
const logInterval = 10_000;

/** Creates the counter of refused connections and registers it. */
export const createRefusalCounter = (registry: Registry): RefusalCounter =>
    new Counter({
        name: "jayfront_connection_refusals_total",
        help: "Connections closed and requests refused because a client exceeded a limit, by port and reason",
        labelNames: ["port", "reason"],
        registers: [registry],
    });

/** Creates a function that counts a refusal, and logs it unless one of the same reason was logged in the last 10 s. */
export const createRefusalRecorder = (
    { port, counter, logger }: RefusalRecorderOptions,
): (reason: ConnectionRefusal) => void => {
    const loggedAt = new Map<ConnectionRefusal, number>();
    const unlogged = new Map<ConnectionRefusal, number>();
    return reason => {
        counter.inc({ port, reason });
        const count = (unlogged.get(reason) ?? 0) + 1;
        const now = performance.now();
        if (now - (loggedAt.get(reason) ?? -Infinity) < logInterval) {
            unlogged.set(reason, count);
            return;
        }
        loggedAt.set(reason, now);
        unlogged.set(reason, 0);
        logger.warn({ port, reason, count }, "clients refused");
    };
};
