/** What decides whether a new task that lasts may take room now. */
export interface LongRunningStartConditions {
    /** Tasks of its size for which there is room. */
    readonly places: number;
    /** Milliseconds since which there has been room for two of them without a break; undefined where there is not. */
    readonly roomFreeFor: number | undefined;
    /** Milliseconds since which it waits. */
    readonly waitingFor: number;
    /** Thousandths of cores within reach of urgent work once the task has started. */
    readonly urgentCpuAfterStart: number;
    /** Thousandths of cores that urgent work should find; see `UrgentReserve`. */
    readonly reserve: number;
}

/** Milliseconds for which room must stay free before it counts as not needed; a job may not be left waiting for 3 s. */
const patience = 1_800;
/** Milliseconds after which a task has waited long enough for urgent work to make room. */
const longestWait = 6_000;

/** Whether the task may start: where urgent work keeps its reach, where nobody wants the room, or after a long wait. */
export const mayStartLongRunning = (
    { places, roomFreeFor: roomyFor, waitingFor: waitsFor, urgentCpuAfterStart: reachAfter, reserve }:
        LongRunningStartConditions,
): boolean => places > 0 && (reachAfter >= reserve || (roomyFor ?? 0) >= patience || waitsFor >= longestWait);
