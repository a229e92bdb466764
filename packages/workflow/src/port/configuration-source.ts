import type { Result } from "true-myth";

import type { Configuration } from "../model/configuration.js";
import type { StoreError } from "./state-store.js";

/** Source of the operator's configuration. */
export interface ConfigurationSource {
    /**
     * Resolves to a configuration that differs from `current`, or to undefined after `wait` milliseconds without a
     * change. `current` may come from a peer instead of this source.
     */
    readonly next: (
        current: Configuration | undefined,
        wait: number,
    ) => Promise<Result<Configuration | undefined, StoreError>>;
}
