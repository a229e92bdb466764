import type { Host, Worker } from "@jayfront/world";
import type { Result } from "true-myth";

import type { PlatformError } from "./platform-error.js";

/** The platform's machines, possibly as of some seconds ago. A machine that is not listed no longer exists. */
export interface LiveMachines {
    readonly hosts: readonly Host[];
    readonly workers: readonly Worker[];
}

/** The platform's list of live and draining machines. */
export interface LiveList {
    /** Reads the list; with `failureDomain`, workers of that domain only. */
    readonly read: (failureDomain?: string) => Promise<Result<LiveMachines, PlatformError>>;
    /** Lists an entry host until its entry expires; has to be repeated to keep the entry. */
    readonly announce: (host: Host) => Promise<Result<undefined, PlatformError>>;
}
