/**
 * Time of our steady clock after which a worker can't run anything any more, going by the deadlines it was sent. Our
 * clock may stand still, which only makes the wait longer.
 */
export interface LeaseHorizon {
    /** A deadline `length` ms away was sent; returns what to call once the worker has answered. */
    readonly noteSent: (length: number) => () => void;
    readonly until: () => number;
}

/** Options of {@link createLeaseHorizon}. */
export interface LeaseHorizonOptions {
    /** Longest time for which the worker accepts a deadline, in ms. */
    readonly longestLease: number;
    readonly drift: number;
    /**
     * Longest delay in ms with which a deadline that was sent at `sentAt` and never answered may still arrive; its time
     * counts from then.
     */
    readonly lateOrderTime: (sentAt: number) => number;
    /** First value: until when deadlines of an earlier holder may hold. */
    readonly initial: number;
}

/** Creates the horizon of a worker. */
export const createLeaseHorizon = (options: LeaseHorizonOptions): LeaseHorizon => {
    const { longestLease, drift, lateOrderTime } = options;
    let until = options.initial;
    const unanswered = new Set<{ readonly sentAt: number; readonly until: number; }>();
    return {
        noteSent: length => {
            const bounded = Math.min(Math.max(0, length), longestLease) / (1 - drift);
            const sentAt = performance.now();
            const sent = { sentAt, until: sentAt + bounded };
            unanswered.add(sent);
            return () => {
                unanswered.delete(sent);
                until = Math.max(until, performance.now() + bounded);
            };
        },
        until: () => Math.max(until, ...[...unanswered].map(sent => sent.until + lateOrderTime(sent.sentAt))),
    };
};
