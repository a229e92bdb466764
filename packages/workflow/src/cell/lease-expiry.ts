/**
 * Tracks when the last lease of a worker expires, derived from the deadlines that were sent to it. After that time the
 * worker can't run anything. If the monotonic clock of this process stands still, the expiry only comes later.
 */
export interface LeaseExpiry {
    /**
     * Records that a deadline `length` ms from now is being sent with this token; returns a callback for the worker's
     * answer.
     */
    readonly recordDeadlineSent: (length: number, token: number) => () => void;
    /** Records that the worker has carried out an order with this token: it refuses those that come with lower ones. */
    readonly recordToken: (token: number) => void;
    /** Records that the worker has restarted, so that it has seen no token and its clock counts anew. */
    readonly recordRestart: () => void;
    /** Monotonic time in ms. */
    readonly expiresAt: () => number;
    /** As `expiresAt`, if no deadline arrives late. */
    readonly expiresIfPrompt: () => number;
}

/** Leases that earlier holders of a cell granted to a worker; both in ms of monotonic time. */
export interface InheritedLeases {
    /** Until which they may last if no deadline arrives late. */
    readonly until: number;
    /** Until which they may last, since deadlines may arrive late; `until` if they don't. */
    readonly lateUntil: number;
}

/** The leases of a worker on which nothing of an earlier holder can run. */
export const noLeases: InheritedLeases = { until: 0, lateUntil: 0 };

/** Options of {@link createLeaseExpiry}. */
export interface LeaseExpiryOptions {
    /** Longest time for which the worker accepts a deadline, in ms. */
    readonly longestLease: number;
    /** Longest lease that holders of the cell grant, in ms. */
    readonly grantedLease: number;
    /** Share by which the worker's clock may be slow. */
    readonly clockDrift: number;
    /**
     * Longest delay in ms with which an unanswered deadline that was sent at `sentAt` may still arrive. The lease
     * counts from its arrival.
     */
    readonly maxDeliveryDelay: (sentAt: number) => number;
    /** The leases of earlier holders. */
    readonly inherited: () => InheritedLeases;
    /** Whether deadlines of earlier holders can't arrive any more. */
    readonly isGone: () => boolean;
}

/** A deadline that was sent and has no answer. */
interface SentDeadline {
    readonly token: number;
    /** Longest time in milliseconds for which it may extend the lease from its arrival. */
    length: number;
    /** Monotonic time in ms. */
    readonly sentAt: number;
    /** Monotonic time in ms at which the lease ends if the deadline arrives without delay. */
    readonly until: number;
    /** Whether the worker would refuse it. */
    isVoid: boolean;
}

/** Milliseconds after its end for which a deadline without answer is kept; longer than any order takes. */
const sentRetention = 30_000;

/** Creates the lease expiry of one worker. */
export const createLeaseExpiry = (options: LeaseExpiryOptions): LeaseExpiry => {
    const { longestLease, grantedLease, clockDrift, maxDeliveryDelay, inherited, isGone } = options;
    let until = inherited().until;
    /** Whether the worker may still accept deadlines of earlier holders. */
    let acceptsInherited = true;
    const longestLength = longestLease / (1 - clockDrift);
    const unanswered = new Set<SentDeadline>();
    /** Counts a deadline that may have arrived at any time until now. */
    const countArrival = ({ length }: SentDeadline): void => {
        until = Math.max(until, performance.now() + length);
    };
    const dropOld = (): void => {
        const now = performance.now();
        [...unanswered].filter(sent => now - sent.until > sentRetention).forEach(sent => unanswered.delete(sent));
    };
    return {
        recordDeadlineSent: (length, token) => {
            const bounded = Math.min(Math.max(0, length), longestLease) / (1 - clockDrift);
            const sentAt = performance.now();
            const sent = { token, length: bounded, sentAt, until: sentAt + bounded, isVoid: false };
            dropOld();
            unanswered.add(sent);
            return () => {
                unanswered.delete(sent);
                countArrival(sent);
            };
        },
        recordToken: token => {
            const { lateUntil } = inherited();
            if (acceptsInherited && !isGone()) {
                until = Math.max(until, Math.min(lateUntil, performance.now() + grantedLease / (1 - clockDrift)));
            }
            acceptsInherited = false;
            for (const sent of unanswered) {
                if (!sent.isVoid && sent.token < token) {
                    sent.isVoid = true;
                    countArrival(sent);
                }
            }
        },
        recordRestart: () => {
            for (const sent of unanswered) {
                sent.isVoid = false;
                sent.length = longestLength;
            }
        },
        expiresAt: () => {
            const valid = [...unanswered].filter(({ isVoid }) => !isVoid);
            return Math.max(
                until,
                acceptsInherited && !isGone() ? inherited().lateUntil : -Infinity,
                ...valid.map(sent => sent.until + maxDeliveryDelay(sent.sentAt)),
            );
        },
        expiresIfPrompt: () =>
            Math.max(until, ...[...unanswered].filter(({ isVoid }) => !isVoid).map(sent => sent.until)),
    };
};
