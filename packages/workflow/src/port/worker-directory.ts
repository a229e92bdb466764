import type { Result } from "true-myth";

import type { WorkerEntry } from "../model/worker-entry.js";
import type { StoreError } from "./state-store.js";

/** The list of workers that the platform keeps. */
export interface WorkerDirectory {
    /** All workers that are registered now; entries that can't be understood are left out. */
    readonly read: () => Promise<Result<readonly WorkerEntry[], StoreError>>;
}
