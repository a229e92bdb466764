import type { WorkerEntry } from "../model/worker-entry.js";
import type { StoredRow } from "./state-store.js";

/** The table of the store in which the platform lists its workers, one row per worker. */
export interface WorkerDirectory {
    readonly table: string;
    readonly partition: string;
    /** Decodes a row; undefined if it is invalid. */
    readonly decode: (row: StoredRow) => WorkerEntry | undefined;
}
