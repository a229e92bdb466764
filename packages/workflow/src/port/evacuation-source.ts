import type { FailureDomainId } from "@jayfront/world";
import type { Result } from "true-myth";

import type { StoreError } from "./state-store.js";

/** The operator's request that nothing more start in a failure domain. */
export interface EvacuationRequest {
    readonly failureDomain: FailureDomainId;
    /** Version of the store at which the request was made. */
    readonly version: number;
}

/** The requests that stand, as of one moment. */
export interface EvacuationRequests {
    readonly requests: readonly EvacuationRequest[];
    /** Version of the store at that moment. */
    readonly version: number;
}

/** Source of the operator's requests to evacuate failure domains. */
export interface EvacuationSource {
    /** Reads the requests that stand. `timeout`: milliseconds after which the read counts as unanswered. */
    readonly read: (timeout: number) => Promise<Result<EvacuationRequests, StoreError>>;
}
