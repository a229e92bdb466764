/**
 * Tracks when the last lease of a worker expires, derived from the deadlines that were sent to it. After that time the
 * worker can't run anything. If the monotonic clock of this process stands still, the expiry only comes later.
 *
 * A deadline is a time on the clock of one incarnation of the worker. Orders reach whichever incarnation has the id, and
 * the clock of a later one starts anew, so that the same deadline lies far ahead there and lasts as long as any may.
 */
export interface LeaseExpiry {
    /**
     * Records that a deadline `length` ms from now is being sent with this token; returns a callback for the end of the
     * call, which takes whether the worker has answered. Without an answer it may have arrived, or may arrive late.
     */
    readonly recordDeadlineSent: (length: number, token: number) => (isAnswered?: boolean) => void;
    /**
     * Records that the worker's present incarnation has carried out an order with this token: it refuses those that come
     * with lower ones.
     */
    readonly recordToken: (token: number) => void;
    /** Records that the present incarnation has answered a call that was sent at `sentAt` (monotonic time in ms). */
    readonly recordAlive: (sentAt: number) => void;
    /**
     * Records that the worker has restarted, so that it has seen no token and its clock counts anew. Returns the deadlines
     * of the former incarnation that may have reached the present one.
     */
    readonly recordRestart: () => FormerDeadlines;
    /** Records that the present incarnation, which has not answered this holder yet, started at `bornAt` (monotonic ms). */
    readonly recordBirth: (bornAt: number) => void;
    /** Monotonic time in ms. */
    readonly expiresAt: () => number;
    /** As `expiresAt`, if no deadline arrives late. */
    readonly expiresIfPrompt: () => number;
}

/** Numbers of the deadlines of a former incarnation that may have reached the next one. */
export interface FormerDeadlines {
    readonly answered: number;
    readonly unanswered: number;
}

/** Leases that earlier holders of a cell granted to a worker; both in ms of monotonic time. */
export interface InheritedLeases {
    /** Until which they may last if no deadline arrives late and the worker has not restarted. */
    readonly until: number;
    /** Until which they may last, since deadlines may arrive late; `until` if they don't. */
    readonly lateUntil: number;
}

/** The leases of a worker on which nothing of an earlier holder can run. */
export const noLeases: InheritedLeases = { until: -Infinity, lateUntil: -Infinity };

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

/** A deadline that was sent. */
interface SentDeadline {
    readonly token: number;
    /** Longest time in milliseconds for which it may extend the lease from its arrival. */
    length: number;
    /** Monotonic time in ms. */
    readonly sentAt: number;
    /** Monotonic time in ms at which the call ended; undefined while it is under way. */
    endedAt: number | undefined;
    /** Whether the worker would refuse it. */
    isVoid: boolean;
    /** Whether the incarnation is over for whose clock it was computed. */
    isForFormer: boolean;
}

/** Milliseconds for which a deadline is kept after its call has ended; longer than any order takes. */
const sentRetention = 30_000;
/**
 * Milliseconds after the start of an incarnation within which an earlier holder that goes on notices it, and sends no
 * more deadlines of the former one: it polls workers that don't answer, and reads the directory each second.
 */
const noticeTime = 2_000;

/** Creates the lease expiry of one worker. */
export const createLeaseExpiry = (options: LeaseExpiryOptions): LeaseExpiry => {
    const { longestLease, clockDrift, maxDeliveryDelay, inherited, isGone } = options;
    const longestLength = longestLease / (1 - clockDrift);
    const grantedLength = options.grantedLease / (1 - clockDrift);
    let until = inherited().until;
    /** Whether the worker may still accept deadlines of earlier holders. */
    let acceptsInherited = true;
    /**
     * Milliseconds by which deadlines of earlier holders may last longer than `inherited` tells, since they may have reached
     * an incarnation for whose clock they were not computed.
     */
    let inheritedExcess = 0;
    /** Monotonic time in ms at which the incarnation that reported last was certainly alive. */
    let aliveAt = -Infinity;
    /** Deadlines without an answer. */
    const unanswered = new Set<SentDeadline>();
    /** Monotonic times in ms of the answers that may be those of an incarnation which this holder doesn't know yet. */
    let answeredAt: readonly number[] = [];
    const extendUntil = (time: number): void => {
        until = Math.max(until, time);
    };
    /** Monotonic time in ms until which a deadline may arrive if it may be delayed by `delay` ms; as of now while it is sent. */
    const latestArrival = (
        { endedAt = performance.now(), sentAt }: SentDeadline,
        delay = maxDeliveryDelay(sentAt),
    ): number => Math.max(endedAt, sentAt + delay);
    /** Whether a deadline may reach an incarnation that starts after `aliveAt`. */
    const mayReachNext = (sent: SentDeadline): boolean => sent.endedAt === undefined || latestArrival(sent) > aliveAt;
    const expiryOf = (sent: SentDeadline, delay: number): number =>
        (sent.isForFormer ? latestArrival(sent, delay) : sent.sentAt + delay) + sent.length;
    const dropOld = (): void => {
        const now = performance.now();
        [...unanswered].filter(({ endedAt = now, length }) => now - endedAt - length > sentRetention)
            .forEach(sent => unanswered.delete(sent));
    };
    const inheritedLateUntil = (): number => inherited().lateUntil + inheritedExcess;
    const latest = (delayOf: (sent: SentDeadline) => number): number =>
        Math.max(until, ...[...unanswered].filter(({ isVoid }) => !isVoid).map(sent => expiryOf(sent, delayOf(sent))));
    return {
        recordDeadlineSent: (length, token) => {
            const bounded = Math.min(Math.max(0, length), longestLease) / (1 - clockDrift);
            const sent: SentDeadline = {
                token,
                length: bounded,
                sentAt: performance.now(),
                endedAt: undefined,
                isVoid: false,
                isForFormer: false,
            };
            dropOld();
            unanswered.add(sent);
            return (isAnswered = true) => {
                sent.endedAt = performance.now();
                if (isAnswered) {
                    unanswered.delete(sent);
                    extendUntil(sent.endedAt + sent.length);
                    answeredAt = [...answeredAt, sent.endedAt];
                }
            };
        },
        recordToken: token => {
            if (acceptsInherited && !isGone()) {
                const length = inheritedExcess > 0 ? longestLength : grantedLength;
                extendUntil(Math.min(inheritedLateUntil(), performance.now() + length));
            }
            acceptsInherited = false;
            for (const sent of unanswered) {
                if (!sent.isVoid && sent.token < token) {
                    sent.isVoid = true;
                    // It may have arrived at any time until now.
                    const arrival = sent.isForFormer ? latestArrival(sent) : Infinity;
                    extendUntil(Math.min(arrival, performance.now()) + sent.length);
                }
            }
        },
        recordAlive: sentAt => {
            aliveAt = Math.max(aliveAt, sentAt);
            answeredAt = answeredAt.filter(time => time > aliveAt);
        },
        recordRestart: () => {
            const answered = answeredAt.length;
            extendUntil(Math.max(-Infinity, ...answeredAt) + longestLength);
            answeredAt = [];
            [...unanswered].filter(sent => !mayReachNext(sent)).forEach(sent => unanswered.delete(sent));
            for (const sent of unanswered) {
                sent.isVoid = false;
                sent.isForFormer = true;
                sent.length = longestLength;
            }
            inheritedExcess = longestLength - grantedLength;
            // The new incarnation has seen no token of this holder.
            acceptsInherited = true;
            return { answered, unanswered: unanswered.size };
        },
        recordBirth: bornAt => {
            const { until: usualUntil } = inherited();
            if (usualUntil > bornAt) {
                const latestOrder = Math.min(usualUntil - grantedLength, bornAt + noticeTime);
                inheritedExcess = Math.max(inheritedExcess, latestOrder + longestLength - usualUntil);
                extendUntil(usualUntil + inheritedExcess);
            }
        },
        expiresAt: () =>
            Math.max(
                latest(({ sentAt }) => maxDeliveryDelay(sentAt)),
                acceptsInherited && !isGone() ? inheritedLateUntil() : -Infinity,
            ),
        expiresIfPrompt: () => latest(() => 0),
    };
};
