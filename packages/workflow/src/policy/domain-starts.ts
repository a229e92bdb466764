import type { FailureDomainId } from "@jayfront/world";

import type { EvacuationRequests } from "../port/evacuation-source.js";

/** What a host knows of the evacuation requests. */
export interface KnownEvacuations extends EvacuationRequests {
    /** Monotonic time in ms at which the read was sent that returned them. */
    readonly readAt: number;
}

/**
 * Milliseconds that a start order may take from the decision to the worker: the gateway gives up an order that it has not
 * sent within one second, and the rest is for the way.
 */
const orderTime = 1_200;

/**
 * Milliseconds for which an answer permits starts, if a request has to be in effect after `bound` ms: a request made just
 * after the read is then in effect in time.
 */
export const longestKnowledgeAge = (bound: number): number => Math.max(0, bound - orderTime);

/** Whether the failure domain is to be evacuated, as far as is known. */
export const isEvacuated = (domain: FailureDomainId, known: KnownEvacuations | undefined): boolean =>
    known?.requests.some(({ failureDomain }) => failureDomain === domain) === true;

/**
 * Whether a start may be sent to a worker of the failure domain at `now` (monotonic time in ms): no request to evacuate it
 * is known, and one that isn't known can't have stood for `bound` ms when the order arrives.
 */
export const mayStartIn = (
    domain: FailureDomainId,
    known: KnownEvacuations | undefined,
    bound: number,
    now: number,
): boolean => known !== undefined && now - known.readAt < longestKnowledgeAge(bound) && !isEvacuated(domain, known);

/**
 * The newer one of what is known and of the answer to another read: a host never goes back to an older state, though
 * answers may arrive in another order than that in which the reads were sent.
 */
export const newerEvacuations = (known: KnownEvacuations | undefined, read: KnownEvacuations): KnownEvacuations => {
    if (known === undefined || read.version > known.version) {
        return read;
    }
    return read.version === known.version ? { ...known, readAt: Math.max(known.readAt, read.readAt) } : known;
};
