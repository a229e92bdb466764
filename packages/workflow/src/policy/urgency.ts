/** What decides in which order steps get workers. */
export interface Urgency {
    /**
     * Whether tasks that are to last are missing: `again` where they have run before, and left the room they need; `first`
     * where none of their step runs, so that its users have nobody.
     */
    readonly lasting: "no" | "new" | "again" | "first";
    /** Priority of the queue; 0 comes first. */
    readonly priority: number;
    /** Milliseconds to spare before the workflow misses its objective; negative where it will. */
    readonly laxity: number;
    /** Milliseconds to spare before the workflow is of no use to its submitter any more. */
    readonly expiryLaxity: number;
}

/** Priority of work that goes before tasks which are to last and have not run yet. */
const urgentPriority = 0;

/** Lasting tasks go back to their room first; urgent work in time goes before new ones; then what is late, but of use. */
const rankOf = ({ lasting, priority, laxity, expiryLaxity: lateLaxity }: Urgency): number => {
    if (lasting !== "no") {
        return lasting === "new" ? 2 : 0;
    }
    if (laxity >= 0) {
        return priority === urgentPriority ? 1 : 3;
    }
    return lateLaxity >= 0 ? 4 : 5;
};

/** Orders steps: the smaller first. */
export const compareUrgency = (left: Urgency, right: Urgency): number =>
    rankOf(left) - rankOf(right)
    || left.priority - right.priority
    || (left.laxity < 0 && right.laxity < 0 ? left.expiryLaxity - right.expiryLaxity : left.laxity - right.laxity);
