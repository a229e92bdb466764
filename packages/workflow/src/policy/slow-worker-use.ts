import { hasTimeAtSpeed } from "./has-time-at-speed.js";

/** What decides whether a task that is not long-running may start on a slow worker. */
export interface SlowWorkerFacts {
    /** Whether the task's queue goes before all others. */
    readonly isUrgent: boolean;
    /** See `measuresSpeed`. */
    readonly measuresSpeed: boolean;
    /** See `Urgency.laxity`, in milliseconds. */
    readonly laxity: number;
    /** Whether the workflow's result is useless to its submitter, so that time costs nothing. */
    readonly isUseless: boolean;
    /** Milliseconds that the task is expected to take on a normal worker. */
    readonly runTime: number;
    /** Speed of the worker; 1 is normal. */
    readonly speed: number;
    /** Number of tasks on the worker that measure its speed. */
    readonly runs: number;
    /** Milliseconds since the worker's speed was last measured. */
    readonly sampleAge: number;
}

/** Tasks that measure a slow worker's speed at a time; one is enough to see that it works at normal speed again. */
const probeCount = 1;
/** Milliseconds without a measurement after which work without slack measures the speed, where none has slack. */
const probeInterval = 4_000;
/** As `probeInterval` for urgent work, where no other work comes; callers of urgent work don't pay for more. */
const urgentProbeInterval = 30_000;

/** How a task may use a slow worker: it has time for the longer run, or the worker's speed is to be measured anew. */
export type SlowWorkerUse = "none" | "has time" | "measures";

/**
 * How the task may use a slow worker. Such a worker gets no urgent work. It gets one task at a time, which measures its
 * speed: one with enough slack for the longer run, or any once the last measurement is old.
 */
export const slowWorkerUse = (
    { isUrgent, measuresSpeed, laxity, isUseless, runTime, speed, runs, sampleAge }: SlowWorkerFacts,
): SlowWorkerUse => {
    if (!measuresSpeed) {
        // Nothing has measured the worker for so long that it would be lost where only such work comes.
        return sampleAge >= urgentProbeInterval ? "has time" : "none";
    }
    if (runs >= probeCount) {
        return "none";
    }
    if (sampleAge >= (isUrgent ? urgentProbeInterval : probeInterval)) {
        return "measures";
    }
    return !isUrgent && (isUseless || hasTimeAtSpeed(laxity, runTime, speed)) ? "has time" : "none";
};
