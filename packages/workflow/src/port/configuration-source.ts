import type { Result } from "true-myth";

import type { Configuration } from "../model/configuration.js";
import type { StoreError } from "./state-store.js";

/** Where the operator's configuration comes from. */
export interface ConfigurationSource {
    /**
     * A configuration that is not `current`, also where that came from a peer, or undefined after `wait` milliseconds
     * without change.
     */
    readonly next: (
        current: Configuration | undefined,
        wait: number,
    ) => Promise<Result<Configuration | undefined, StoreError>>;
}
