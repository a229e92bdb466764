/** What decides whether a task waits for a place where it runs faster; times in milliseconds. */
export interface NearWaitFacts {
    /** Time for which tasks of the step have waited for such a place so far. */
    readonly waited: number;
    /** Expected time until such a place is free for this task; infinite where nothing is known of it. */
    readonly expectedWait: number;
    /** Expected run time of the task in such a place. */
    readonly runTime: number;
    /** Factor by which the run takes longer in any other place. */
    readonly farRunFactor: number;
    /** See `Urgency.laxity`; it counts the run time in a near place. */
    readonly laxity: number;
    /** See `Urgency.expiryLaxity`. */
    readonly expiryLaxity: number;
}

/**
 * `wait`, or why the task doesn't wait: it has waited as long as it may (`bound`), a near place is not expected in time
 * (`long-queue`), or the wait puts a time at risk that the slower run would keep (`deadline`).
 */
export type NearWaitDecision = "wait" | "bound" | "long-queue" | "deadline";

/**
 * Longest wait in milliseconds. Users expect a run within 3 s while there is room, of which the report of the last end, a
 * pass and the order take more than a second on a busy holder; the wait takes half of the rest.
 */
export const longestNearWait = 1_000;
/** Milliseconds until the next decision on the task: the interval of placement passes and the length of one on a busy holder. */
const decisionInterval = 300;

/** Milliseconds that a run takes longer in a place that isn't near. */
export const farRunLoss = ({ runTime, farRunFactor }: Pick<NearWaitFacts, "runTime" | "farRunFactor">): number =>
    runTime * (farRunFactor - 1);

/**
 * Decides whether a task for which only a slower place is free waits for a faster one. The wait ends where it has cost as
 * much as the slower run loses, so that both together never cost more than twice that.
 */
export const decideNearWait = (facts: NearWaitFacts): NearWaitDecision => {
    const { waited, expectedWait, laxity, expiryLaxity } = facts;
    const loss = farRunLoss(facts);
    const limit = Math.min(loss, longestNearWait);
    if (waited >= limit) {
        return "bound";
    }
    if (expectedWait >= limit) {
        return "long-queue";
    }
    // Where the slower run is in time, it must still be at the next decision; where it is late, only a wait may be in time.
    const isSafe = (spareTime: number): boolean =>
        spareTime >= loss ? spareTime - loss >= decisionInterval : spareTime >= expectedWait;
    const isObjectiveLost = laxity < expectedWait;
    return isSafe(isObjectiveLost ? expiryLaxity : laxity) ? "wait" : "deadline";
};
