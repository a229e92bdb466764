/**
 * How a run ended: `failed` by its own or the worker's fault, `stopped` by order, `lapsed` with its lease, `broken`
 * because another member of its gang ended, `alone` because the other members did not come in time.
 */
export type RunOutcome = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";
