import type { Branded } from "./branded.js";
import type { FailureDomainId } from "./failure-domain-id.js";

/** Identifies a cell, a fixed part of the workers of a failure domain: `<failure domain>/<number>`. */
export type CellId = Branded<string, "CellId">;

/** Id of cell `number` (from 0) of `failureDomain`. */
export const cellId = (failureDomain: FailureDomainId, number: number): CellId =>
    `${failureDomain}/${String(number)}` as CellId;
