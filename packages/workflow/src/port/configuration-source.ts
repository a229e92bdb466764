import type { Result } from "true-myth";

import type { Configuration } from "../model/configuration.js";
import type { StoreError } from "./state-store.js";

/** Where the operator's configuration comes from. */
export interface ConfigurationSource {
    /** The newest configuration once it differs from `version`, or undefined after some seconds without change. */
    readonly next: (version: number | undefined) => Promise<Result<Configuration | undefined, StoreError>>;
}
