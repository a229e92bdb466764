import { createQuantileEstimate } from "@jayfront/policy";

/** What a submission is counted under. */
export interface SharedSubmission {
    /** Kind of request: the name of the queue. */
    readonly kind: string;
    /** Failure domain that the submission came from; undefined if it is not known. */
    readonly origin: string | undefined;
    /** Millicores times ms that its tasks are expected to take. */
    readonly work: number;
}

/**
 * Shares of the admitted work by kind of request, by failure domain of the submitters and by size. All groups of a sort
 * have the same weight. A group that asks for less than its even share leaves the rest to the others. Times in ms of a
 * monotonic clock.
 */
export interface AdmissionShares {
    /** Counts a submission on which the cell decides, and whether it may take part in the order of work in time. */
    readonly record: (submission: SharedSubmission, isAdmitted: boolean, now: number) => void;
    /**
     * Whether less than half of an even split has been admitted of the submission's kind or failure domain, or of the
     * largest tenth of its kind less than half of the share that is admitted of the kind.
     */
    readonly isBelowShare: (submission: SharedSubmission, now: number) => boolean;
}

/** Sums that decay with time. */
interface Account {
    askedWork: number;
    admittedWork: number;
    asked: number;
    admitted: number;
    /** Monotonic time in ms up to which the sums have decayed. */
    at: number;
}

/** Milliseconds in which a recorded submission decays to 1/e: about the time in which callers can use late results. */
const decayTime = 10_000;
/** Part of its even share that each group is sure of. */
const sureShare = 0.5;
/** Share of a kind's submissions that do not count as large. */
const largeQuantile = 0.9;
/** Submissions below which a group, after decay, no longer counts among those that share the room. */
const leastAsked = 0.5;

/** Creates shares without any recorded submission. */
export const createAdmissionShares = (): AdmissionShares => {
    const kinds = new Map<string, Account>();
    const origins = new Map<string, Account>();
    const largeOfKind = new Map<string, Account>();
    const sizes = createQuantileEstimate({ quantile: largeQuantile });

    const decayed = (accounts: Map<string, Account>, key: string, now: number): Account => {
        const account = accounts.get(key) ?? { askedWork: 0, admittedWork: 0, asked: 0, admitted: 0, at: now };
        const factor = Math.exp((account.at - now) / decayTime);
        account.askedWork *= factor;
        account.admittedWork *= factor;
        account.asked *= factor;
        account.admitted *= factor;
        account.at = now;
        accounts.set(key, account);
        return account;
    };
    const isLarge = ({ kind, work }: SharedSubmission): boolean => work >= sizes.predict(kind, kind, Infinity);
    const add = (account: Account, work: number, isAdmitted: boolean): void => {
        account.asked += 1;
        account.askedWork += work;
        account.admitted += isAdmitted ? 1 : 0;
        account.admittedWork += isAdmitted ? work : 0;
    };
    const isGroupBelowShare = (accounts: Map<string, Account>, key: string, now: number): boolean => {
        const active = [...accounts.keys()]
            .map(each => decayed(accounts, each, now))
            .filter(({ asked }) => asked >= leastAsked);
        const total = active.reduce((sum, { admittedWork }) => sum + admittedWork, 0);
        const own = decayed(accounts, key, now);
        const groups = active.length + (active.includes(own) ? 0 : 1);
        return groups > 1 && own.admittedWork < sureShare * total / groups;
    };
    return {
        record: (submission, isAdmitted, now) => {
            const { kind, origin, work } = submission;
            add(decayed(kinds, kind, now), work, isAdmitted);
            if (origin !== undefined) {
                add(decayed(origins, origin, now), work, isAdmitted);
            }
            if (isLarge(submission)) {
                add(decayed(largeOfKind, kind, now), work, isAdmitted);
            }
            sizes.record(kind, kind, work);
        },
        isBelowShare: (submission, now) => {
            const { kind, origin } = submission;
            if (
                isGroupBelowShare(kinds, kind, now)
                || origin !== undefined && isGroupBelowShare(origins, origin, now)
            ) {
                return true;
            }
            const ofKind = decayed(kinds, kind, now);
            const large = decayed(largeOfKind, kind, now);
            // Counted as if it were turned away, so that the first large one is admitted once others of its kind are not.
            return isLarge(submission)
                && large.admitted / (large.asked + 1) < sureShare * ofKind.admitted / (ofKind.asked + 1);
        },
    };
};
