import type { Result } from "true-myth";

import type { WorkerEntry } from "../model/worker-entry.js";
import type { StateStore, StoreError } from "../port/state-store.js";
import type { WorkerDirectory } from "../port/worker-directory.js";
import { createFollowedTable } from "../store/followed-table.js";

/** The workers in the platform's directory, as this host last read them. */
export interface WorkerList {
    /** Reads the changes since the last call; returns all workers that are now listed. */
    readonly update: () => Promise<Result<readonly WorkerEntry[], StoreError>>;
}

/** Options of {@link createWorkerList}. */
export interface WorkerListOptions {
    readonly store: StateStore;
    readonly directory: WorkerDirectory;
}

/** Creates an empty list. */
export const createWorkerList = ({ store, directory }: WorkerListOptions): WorkerList => {
    const { table, partition, decode } = directory;
    const rows = createFollowedTable({ store, table, partition });
    const entries = new Map<string, WorkerEntry>();
    return {
        update: async () => {
            const changes = await rows.update(0);
            return changes.map(changed => {
                for (const row of changed) {
                    const entry = row.isRemoved ? undefined : decode(row, entries.get(row.key));
                    if (entry === undefined) {
                        entries.delete(row.key);
                    }
                    else {
                        entries.set(row.key, entry);
                    }
                }
                return [...entries.values()];
            });
        },
    };
};
