/**
 * Time of our steady clock after which a worker can't run anything any more, going by the deadlines it was sent. Our
 * clock may stand still, which only makes the wait longer.
 */
export interface LeaseExpiry {
    /** A deadline `length` ms away was sent; returns what to call once the worker has answered. */
    readonly recordDeadlineSent: (length: number) => () => void;
    readonly expiresAt: () => number;
}

/** Options of {@link createLeaseExpiry}. */
export interface LeaseExpiryOptions {
    /** Longest time for which the worker accepts a deadline, in ms. */
    readonly longestLease: number;
    readonly clockDrift: number;
    /**
     * Longest delay in ms with which a deadline that was sent at `sentAt` and never answered may still arrive; its time
     * counts from then.
     */
    readonly maxDeliveryDelay: (sentAt: number) => number;
    /** First value: until when deadlines of an earlier holder may hold. */
    readonly initialExpiry: number;
}

/** Creates the horizon of a worker. */
export const createLeaseExpiry = (options: LeaseExpiryOptions): LeaseExpiry => {
    const { longestLease, clockDrift, maxDeliveryDelay } = options;
    let until = options.initialExpiry;
    const unanswered = new Set<{ readonly sentAt: number; readonly until: number; }>();
    return {
        recordDeadlineSent: length => {
            const bounded = Math.min(Math.max(0, length), longestLease) / (1 - clockDrift);
            const sentAt = performance.now();
            const sent = { sentAt, until: sentAt + bounded };
            unanswered.add(sent);
            return () => {
                unanswered.delete(sent);
                until = Math.max(until, performance.now() + bounded);
            };
        },
        expiresAt: () => Math.max(until, ...[...unanswered].map(sent => sent.until + maxDeliveryDelay(sent.sentAt))),
    };
};
