import type { Branded } from "./branded.js";

/** Identifies a worker of the platform. */
export type WorkerId = Branded<string, "WorkerId">;

/** Brands `value` as a {@link WorkerId}. */
export const workerId = (value: string): WorkerId => value as WorkerId;
