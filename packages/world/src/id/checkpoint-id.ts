import type { Branded } from "./branded.js";

/** Identifies a checkpoint in the object store. */
export type CheckpointId = Branded<string, "CheckpointId">;

/** Brands `value` as a {@link CheckpointId}. */
export const checkpointId = (value: string): CheckpointId => value as CheckpointId;
