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
 * have the same weight. Times in ms of a monotonic clock.
 */
export interface AdmissionShares {
    /** Counts a submission on which the cell decides, and whether it is admitted: accepted and expected to be in time. */
    readonly record: (submission: SharedSubmission, isAdmitted: boolean, now: number) => void;
    /**
     * Whether the submission belongs to a group that has got more than an even split, while another group of the sort
     * has got less than that and than it asked for; or is not among the largest tenth of its kind, of which a smaller
     * part has been admitted. A group that asks for less than its share leaves the rest to the others.
     */
    readonly isAboveShare: (submission: SharedSubmission, now: number) => boolean;
}

/** Sums that decay with time; work in millicores times ms. */
interface Account {
    askedWork: number;
    admittedWork: number;
    /** Numbers of submissions. */
    asked: number;
    admitted: number;
    /** Monotonic time in ms up to which the sums have decayed. */
    at: number;
}

/** Milliseconds in which a recorded submission decays to 1/e: about the time in which callers can use late results. */
const decayTime = 10_000;
/** Share of a kind's submissions that do not count as large. */
const largeQuantile = 0.9;
/** Part of its asked work from which a group has got what it asked for. */
const satisfiedShare = 0.9;
/** Submissions below which a group, after decay, no longer counts among those that share the room. */
const leastAsked = 0.5;

/** Creates shares without any recorded submission. */
export const createAdmissionShares = (): AdmissionShares => {
    const kinds = new Map<string, Account>();
    const origins = new Map<string, Account>();
    const largeOfKind = new Map<string, Account>();
    const largeSizes = createQuantileEstimate({ quantile: largeQuantile });
    const usualSizes = createQuantileEstimate({ quantile: 0.5 });

    const accountOf = (accounts: Map<string, Account>, key: string, now: number): Account => {
        const account = accounts.get(key) ?? { askedWork: 0, admittedWork: 0, asked: 0, admitted: 0, at: now };
        const factor = Math.exp(Math.min(0, account.at - now) / decayTime);
        account.askedWork *= factor;
        account.admittedWork *= factor;
        account.asked *= factor;
        account.admitted *= factor;
        account.at = now;
        accounts.set(key, account);
        return account;
    };
    const isLarge = ({ kind, work }: SharedSubmission): boolean =>
        work >= largeSizes.predict(kind, kind, Infinity) && work > usualSizes.predict(kind, kind, Infinity);
    const add = (account: Account, work: number, isAdmitted: boolean): void => {
        account.asked += 1;
        account.askedWork += work;
        account.admitted += isAdmitted ? 1 : 0;
        account.admittedWork += isAdmitted ? work : 0;
    };
    const isGroupAboveShare = (accounts: Map<string, Account>, key: string, now: number): boolean => {
        const active = [...accounts.keys()]
            .map(each => accountOf(accounts, each, now))
            .filter(({ asked }) => asked >= leastAsked);
        const evenShare = active.reduce((sum, { admittedWork }) => sum + admittedWork, 0) / Math.max(1, active.length);
        const isShort = ({ askedWork, admittedWork }: Account): boolean =>
            admittedWork < evenShare && admittedWork < askedWork * satisfiedShare;
        return accountOf(accounts, key, now).admittedWork > evenShare && active.some(isShort);
    };
    const admittedShare = ({ asked, admitted }: Account): number => asked < leastAsked ? 1 : admitted / asked;
    return {
        record: (submission, isAdmitted, now) => {
            const { kind, origin, work } = submission;
            add(accountOf(kinds, kind, now), work, isAdmitted);
            if (origin !== undefined) {
                add(accountOf(origins, origin, now), work, isAdmitted);
            }
            if (isLarge(submission)) {
                add(accountOf(largeOfKind, kind, now), work, isAdmitted);
            }
            largeSizes.record(kind, kind, work);
            usualSizes.record(kind, kind, work);
        },
        isAboveShare: (submission, now) => {
            const { kind, origin } = submission;
            const isLargeShort = admittedShare(accountOf(largeOfKind, kind, now))
                < admittedShare(accountOf(kinds, kind, now));
            return isGroupAboveShare(kinds, kind, now)
                || origin !== undefined && isGroupAboveShare(origins, origin, now)
                || isLargeShort && !isLarge(submission);
        },
    };
};
