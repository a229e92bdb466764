import type { Branded } from "./branded.js";

/** Identifies a batch job. */
export type JobId = Branded<string, "JobId">;

/** Brands `value` as a {@link JobId}. */
export const jobId = (value: string): JobId => value as JobId;
