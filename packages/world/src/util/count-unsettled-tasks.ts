import type { Chunk } from "../chunk.js";
import { countIndices } from "./count-indices.js";

/** Tasks of `chunk` that have no outcome yet; those in doubt count as unsettled. */
export const countUnsettledTasks = (chunk: Chunk): number =>
    chunk.count - countIndices(chunk.finished) - countIndices(chunk.failed) - countIndices(chunk.cancelled);
