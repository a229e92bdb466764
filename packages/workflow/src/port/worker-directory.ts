import type { WorkerEntry } from "../model/worker-entry.js";
import type { StoredRow } from "./state-store.js";

/** The table of the store in which the platform lists its workers, one row per worker. */
export interface WorkerDirectory {
    readonly table: string;
    readonly partition: string;
    /**
     * Decodes a row; undefined if it is invalid. `known`: the entry that an earlier version of the row was decoded to; it
     * is returned if the row still contains the same.
     */
    readonly decode: (row: StoredRow, known?: WorkerEntry) => WorkerEntry | undefined;
}
