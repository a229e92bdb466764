import type { Result } from "true-myth";

import type { PlatformError } from "./platform-error.js";

/** The platform's object store, which reads and writes whole values by name. */
export interface ObjectStore {
    readonly put: (name: string, value: Uint8Array) => Promise<Result<undefined, PlatformError>>;
    /** Reads a value; undefined if there is none of this name. */
    readonly get: (name: string) => Promise<Result<Uint8Array | undefined, PlatformError>>;
}
