import type { Branded } from "./branded.js";

/** Identifies a failure domain. */
export type FailureDomainId = Branded<string, "FailureDomainId">;

/** Brands `value` as a {@link FailureDomainId}. */
export const failureDomainId = (value: string): FailureDomainId => value as FailureDomainId;
