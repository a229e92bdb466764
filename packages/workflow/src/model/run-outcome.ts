/**
 * How a run ended: `done`; `failed`, by its own or the worker's fault; `stopped`, by order; `lapsed`, when its lease
 * expired; `broken`, because another member of its gang ended; `alone`, because the other members of its gang did not
 * start in time.
 */
export type RunOutcome = "done" | "failed" | "stopped" | "lapsed" | "broken" | "alone";
