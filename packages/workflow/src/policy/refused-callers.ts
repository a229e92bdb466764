import type { JobId } from "@jayfront/world";

import type { ForecastSubject } from "./completion-forecast.js";

/**
 * Remembers refused submissions, so that those that return are served in the order in which they first came, before later
 * ones. Times in ms of a monotonic clock.
 */
export interface RefusedCallers {
    /**
     * Records the refusal of a submission that would have room `tooLateBy` ms too late; returns the milliseconds after
     * which its submitter should return. `timeOf`: milliseconds that work takes at the present rate.
     */
    readonly refuse: (
        id: JobId,
        subject: ForecastSubject,
        tooLateBy: number,
        timeOf: (subject: ForecastSubject) => number,
        now: number,
    ) => number;
    /** Submissions that were refused before this one first came and may still return. */
    readonly before: (id: JobId, now: number) => readonly ForecastSubject[];
    /** Forgets a submission that has been accepted. */
    readonly forget: (id: JobId) => void;
}

/** A submission that may return. */
interface RefusedCaller {
    readonly subject: ForecastSubject;
    /** Time at which the submitter should return. */
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
    const forgetGone = (now: number): void => {
        for (const [id, { returnAt }] of callers) {
            if (now > returnAt + returnGrace) {
                callers.delete(id);
            }
        }
    };
    const before = (id: JobId): readonly ForecastSubject[] => {
        const earlier: ForecastSubject[] = [];
        for (const [other, { subject }] of callers) {
            if (other === id) {
                break;
            }
            earlier.push(subject);
        }
        return earlier;
    };
    return {
        refuse: (id, subject, tooLateBy, timeOf, now) => {
            forgetGone(now);
            const time = before(id).reduce((sum, earlier) => sum + timeOf(earlier), tooLateBy);
            const retryAfter = Math.min(longestReturn, Math.max(shortestReturn, time));
            const known = callers.get(id);
            if (known === undefined) {
                callers.set(id, { subject, returnAt: now + retryAfter });
            }
            else {
                known.returnAt = now + retryAfter;
            }
            const [oldest] = callers.keys();
            if (callers.size > limit && oldest !== undefined) {
                callers.delete(oldest);
            }
            return retryAfter;
        },
        before: (id, now) => {
            forgetGone(now);
            return before(id);
        },
        forget: id => {
            callers.delete(id);
        },
    };
};
