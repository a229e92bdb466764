import type { JobId } from "@jayfront/world";

import type { ForecastSubject } from "./completion-forecast.js";

/**
 * Remembers refused submissions, so that those that return are served in the order in which they first came, before later
 * ones. Times in ms.
 */
export interface RefusedCallers {
    /**
     * Records the refusal of a submission that would have room `tooLateBy` ms too late, after those in `before`; returns
     * the milliseconds after which its submitter should return.
     */
    readonly refuse: (id: JobId, subject: ForecastSubject, acceptedAt: number, tooLateBy: number) => number;
    /** Unix time at which a submission that has returned first came; undefined if it is not remembered. */
    readonly firstCameAt: (id: JobId) => number | undefined;
    /** Submissions that were refused before this one first came and may still return. */
    readonly before: (id: JobId) => readonly ForecastSubject[];
    /** Forgets a submission that has been accepted. */
    readonly forget: (id: JobId) => void;
}

/** A submission that may return. */
interface RefusedCaller {
    readonly subject: ForecastSubject;
    /** Unix time. */
    readonly firstCameAt: number;
    /** Monotonic time at which the submitter should return. */
    returnAt: number;
}

/** Milliseconds after the time given to it within which a submitter that returns keeps its place. */
const returnGrace = 2_000;
/** Number of refused submissions that are remembered; the oldest are forgotten first. */
const limit = 500;
/** Milliseconds after which submitters return, at least and at most. */
const shortestReturn = 1_000;
const longestReturn = 30_000;

/** Creates a memory without refusals. */
export const createRefusedCallers = (): RefusedCallers => {
    /** In the order in which the submissions were refused first. */
    const callers = new Map<JobId, RefusedCaller>();
    const forgetGone = (): void => {
        const now = performance.now();
        for (const [id, { returnAt }] of callers) {
            if (now > returnAt + returnGrace) {
                callers.delete(id);
            }
        }
        const [oldest] = callers.keys();
        if (callers.size > limit && oldest !== undefined) {
            callers.delete(oldest);
        }
    };
    return {
        refuse: (id, subject, acceptedAt, tooLateBy) => {
            const retryAfter = Math.min(longestReturn, Math.max(shortestReturn, tooLateBy));
            const returnAt = performance.now() + retryAfter;
            const known = callers.get(id);
            if (known === undefined) {
                callers.set(id, { subject, firstCameAt: acceptedAt, returnAt });
            }
            else {
                known.returnAt = returnAt;
            }
            forgetGone();
            return retryAfter;
        },
        firstCameAt: id => callers.get(id)?.firstCameAt,
        before: id => {
            forgetGone();
            const ids = [...callers.keys()];
            const place = ids.indexOf(id);
            return [...callers.values()].slice(0, place === -1 ? ids.length : place).map(({ subject }) => subject);
        },
        forget: id => {
            callers.delete(id);
        },
    };
};
