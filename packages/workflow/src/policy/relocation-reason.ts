/** What decides whether a run should go on where it is. */
export interface RelocationFacts {
    readonly isLasting: boolean;
    /** Whether a stop saves what was done. */
    readonly isCheckpointing: boolean;
    /** Whether its members wait for each other, so that standing still says nothing. */
    readonly isGang: boolean;
    /** Milliseconds since the start. */
    readonly age: number;
    /** Milliseconds since the reported share of done work last changed. */
    readonly unchangedFor: number;
    /** Milliseconds since the worker's last report. */
    readonly reportAge: number;
    /** Reported share of done work; of a lasting task, 100 once it serves. */
    readonly percent: number;
    /** Share of its speed that it was given, in percent. */
    readonly pace: number;
    /** Milliseconds that the whole task is expected to take. */
    readonly expectedTime: number;
    /** Milliseconds that the worker stays at least; undefined while it does not leave. */
    readonly workerStays?: number;
    /** Whether another worker has room for the task now. */
    readonly hasRoomElsewhere: boolean;
}

/** Milliseconds that a stop and the next start take together. */
const moveTime = 400;
/** Milliseconds by which a worker may leave sooner than thought: its entry lags, and is read every half second. */
const entryAge = 1_300;
/** Milliseconds without progress after which a task stands still: some reports, and a start with a checkpoint. */
const stallTime = 1_800;
/** Milliseconds after which a task that lasts has to serve. */
const servingTime = 4_000;
/** Milliseconds for which a report is taken for the present. */
const freshReport = 1_500;

const isLeavingTooSoon = (facts: RelocationFacts): boolean => {
    if (facts.workerStays === undefined) {
        return false;
    }
    // A stop that saves its work is better early than too late; of other work only the end helps.
    const stays = facts.isLasting || facts.isCheckpointing ? facts.workerStays - entryAge : facts.workerStays;
    if (facts.isLasting) {
        return facts.hasRoomElsewhere || stays < moveTime;
    }
    const reportedAge = facts.age - facts.reportAge;
    const left = facts.percent > 0
        ? reportedAge * (100 - facts.percent) / facts.percent - facts.reportAge
        : Math.max(0, facts.expectedTime - facts.age);
    return left + moveTime > stays;
};
const isStalled = (facts: RelocationFacts): boolean => {
    if (facts.isGang || facts.pace === 0 || facts.reportAge > freshReport) {
        return false;
    }
    if (facts.isLasting) {
        return facts.percent < 100 && facts.age > servingTime && facts.unchangedFor > servingTime;
    }
    // A slowed task's share changes less often.
    return facts.unchangedFor > stallTime * 100 / Math.max(facts.pace, 20) + facts.expectedTime / 20;
};

/** Why a run should be stopped and started elsewhere; undefined where it should go on. */
export const relocationReason = (facts: RelocationFacts): "worker leaves" | "stands still" | undefined =>
    isLeavingTooSoon(facts) ? "worker leaves" : isStalled(facts) ? "stands still" : undefined;
