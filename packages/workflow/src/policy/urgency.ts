/** What decides the order in which waiting tasks get workers. */
export interface Urgency {
    /**
     * What a long-running task means for its step; `no` where the task is not long-running. `again`: the task has run
     * before and lost its run. `first`: no task of the step runs, so that its users are not served at all, and this is
     * the first one to start. `leaving`: the task runs on a draining worker and needs room on another one. `new`: any
     * other task that has not run yet.
     */
    readonly lasting: "no" | "new" | "again" | "first" | "leaving";
    /** Priority of the queue; 0 comes first. */
    readonly priority: number;
    /** Milliseconds to spare before the workflow misses its objective; negative where it will miss it. */
    readonly laxity: number;
    /** Milliseconds to spare before the workflow's result becomes useless to its submitter; negative where it will. */
    readonly expiryLaxity: number;
}

/** Priority of urgent work, which goes before long-running tasks that have not run yet. */
export const urgentPriority = 0;

/** Class of a long-running task, see {@link rankOf}. */
const longRunningRanks: Readonly<Record<Exclude<Urgency["lasting"], "no">, number>> = {
    again: 0,
    first: 0,
    leaving: 1,
    new: 3,
};
/**
 * Class of a task, the lowest first: long-running tasks that lost their run or whose step has none; long-running tasks
 * that will lose their run; urgent work in time; new long-running tasks; other work in time; late work that is still
 * useful; useless work.
 */
const rankOf = ({ lasting, priority, laxity, expiryLaxity }: Urgency): number => {
    if (lasting !== "no") {
        return longRunningRanks[lasting];
    }
    if (laxity >= 0) {
        return priority === urgentPriority ? 2 : 4;
    }
    return expiryLaxity >= 0 ? 5 : 6;
};

/** The last class that goes before other work; see {@link rankOf}. */
const lastRankBeforeOtherWork = 3;

/** Whether the task is long-running, or urgent and in time, so that it goes before all other work. */
export const isBeforeOtherWork = (urgency: Urgency): boolean => rankOf(urgency) <= lastRankBeforeOtherWork;

/** Compares for an ascending sort in which the more urgent comes first: by class, then priority, then laxity. */
export const compareUrgency = (left: Urgency, right: Urgency): number =>
    rankOf(left) - rankOf(right)
    || left.priority - right.priority
    || (left.laxity < 0 && right.laxity < 0 ? left.expiryLaxity - right.expiryLaxity : left.laxity - right.laxity);
