/** What decides in which order steps get workers. */
export interface Urgency {
    /** Priority of the queue; 0 comes first. */
    readonly priority: number;
    /** Milliseconds to spare before the workflow misses its objective; negative where it will. */
    readonly laxity: number;
    /** Milliseconds to spare before the workflow is of no use to its submitter any more. */
    readonly lateLaxity: number;
}

/** Work in time goes first, then work that is late but still of use, then the rest. */
const rankOf = ({ laxity, lateLaxity }: Urgency): number => laxity >= 0 ? 0 : lateLaxity >= 0 ? 1 : 2;

/** Orders steps: the smaller first. */
export const compareUrgency = (left: Urgency, right: Urgency): number =>
    rankOf(left) - rankOf(right) || left.priority - right.priority || left.laxity - right.laxity;
