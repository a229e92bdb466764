/** What decides whether a run should be stopped and started on another worker. */
export interface RelocationFacts {
    /** Whether the task is long-running. */
    readonly isLasting: boolean;
    /** Whether a stop saves a checkpoint of the work done. */
    readonly isCheckpointing: boolean;
    /** Whether the task belongs to a gang; its members wait for each other, so a lack of progress means nothing. */
    readonly isGang: boolean;
    /** Milliseconds since the start of the run. */
    readonly age: number;
    /** Milliseconds since the reported percentage last changed. */
    readonly unchangedFor: number;
    /** Milliseconds since the worker's last report. */
    readonly reportAge: number;
    /** Reported percentage of work done; for a long-running task, 100 once it serves. */
    readonly percent: number;
    /** Pace that the run was given, in percent of full speed. */
    readonly pace: number;
    /** Milliseconds for which the run has been halted for the sake of others on its worker; 0 while it works. */
    readonly haltedFor: number;
    /** Milliseconds that the whole task is expected to take. */
    readonly expectedTime: number;
    /** Milliseconds for which a draining worker stays at least; undefined while the worker is not draining. */
    readonly workerStays?: number;
    /** Whether another worker has room for the long-running task; except for gangs, the room is kept for it. */
    readonly hasRoomElsewhere: boolean;
}

/** Milliseconds that a stop and the next start take together. */
const moveTime = 400;
/** Milliseconds by which a worker may leave sooner than expected: its entry lags and is read every half second. */
const entryAge = 1_300;
/** Milliseconds without progress after which a run has stalled; covers some reports and a start from a checkpoint. */
const stallTime = 1_800;
/** Milliseconds within which a long-running task must begin to serve. */
const servingTime = 4_000;
/** Milliseconds after which a halted run is moved, if a stop saves its work; a move takes about as long. */
const longestHalt = 600;
/** Milliseconds for which a report counts as current. */
const freshReport = 1_500;

const mustLeaveDrainingWorker = (facts: RelocationFacts): boolean => {
    if (facts.workerStays === undefined) {
        return false;
    }
    // Work that a stop saves, or that never ends, is better moved early; other work is lost unless it ends in time.
    const stays = facts.isLasting || facts.isCheckpointing ? facts.workerStays - entryAge : facts.workerStays;
    if (facts.isLasting) {
        return facts.hasRoomElsewhere || stays < moveTime;
    }
    const reportedAge = facts.age - facts.reportAge;
    const remaining = facts.percent > 0
        ? reportedAge * (100 - facts.percent) / facts.percent - facts.reportAge
        : Math.max(0, facts.expectedTime - facts.age);
    return remaining + moveTime > stays;
};
const isStalled = (facts: RelocationFacts): boolean => {
    if (facts.isGang || facts.pace === 0 || facts.reportAge > freshReport) {
        return false;
    }
    if (facts.isLasting) {
        return facts.percent < 100 && facts.age > servingTime && facts.unchangedFor > servingTime;
    }
    // The percentage of a slowed or long task changes less often.
    return facts.unchangedFor > stallTime * 100 / Math.max(facts.pace, 20) + facts.expectedTime / 20;
};

const isHaltedForLong = (facts: RelocationFacts): boolean =>
    facts.isCheckpointing && !facts.isGang && facts.haltedFor >= longestHalt;

/** Why a run should be stopped and started on another worker. */
export type RelocationReason = "worker leaves" | "stands still" | "halted";

/** The reason for which a run should be stopped and started on another worker; undefined where it should go on. */
export const relocationReason = (facts: RelocationFacts): RelocationReason | undefined =>
    mustLeaveDrainingWorker(facts)
        ? "worker leaves"
        : isStalled(facts)
        ? "stands still"
        : isHaltedForLong(facts)
        ? "halted"
        : undefined;
