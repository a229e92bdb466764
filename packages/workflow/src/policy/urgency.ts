/** What decides in which order steps get workers. */
export interface Urgency {
    /** Whether tasks that are to last are missing. */
    readonly isLasting: boolean;
    /** Priority of the queue; 0 comes first. */
    readonly priority: number;
    /** Milliseconds to spare before the workflow misses its objective; negative where it will. */
    readonly laxity: number;
    /** Milliseconds to spare before the workflow is of no use to its submitter any more. */
    readonly lateLaxity: number;
}

/** Tasks that are to last go first, then work in time, then work that is late but still of use, then the rest. */
const rankOf = ({ isLasting, laxity, lateLaxity }: Urgency): number =>
    isLasting ? 0 : laxity >= 0 ? 1 : lateLaxity >= 0 ? 2 : 3;

/** Orders steps: the smaller first. */
export const compareUrgency = (left: Urgency, right: Urgency): number =>
    rankOf(left) - rankOf(right) || left.priority - right.priority || left.laxity - right.laxity;
