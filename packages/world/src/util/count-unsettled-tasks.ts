import type { Chunk } from "../chunk.js";
import { countIndices } from "./count-indices.js";

/** Number of tasks of `chunk` without an outcome; those in doubt count as unsettled. */
export const countUnsettledTasks = (chunk: Chunk): number =>
    chunk.count - countIndices(chunk.finished) - countIndices(chunk.failed) - countIndices(chunk.cancelled);
