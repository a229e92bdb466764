/** What decides whether a waiting long-running task may take room now. */
export interface LongRunningStartConditions {
    /** Tasks of its size for which there is room, beside the long-running tasks that may have to run again. */
    readonly places: number;
    /** Milliseconds for which there has been room for two of them without a break; undefined where there is none. */
    readonly roomFreeFor: number | undefined;
    /** Milliseconds for which the task has been waiting. */
    readonly waitingFor: number;
    /** Millicores that urgent work holds, or finds free once the task has started. */
    readonly urgentCpuAfterStart: number;
    /** Millicores that urgent work should hold or find free; see `UrgentReserve`. */
    readonly reserve: number;
}

/** Milliseconds for which room must stay free before it counts as not needed; a job may not be left waiting for 3 s. */
const unusedRoomDelay = 1_800;
/** Milliseconds after which a task has waited long enough for urgent work to make room. */
const longestWait = 6_000;

/** Whether the task may start: urgent work keeps its reserve, the room is unused, or the task has waited too long. */
export const mayStartLongRunning = (
    { places, roomFreeFor, waitingFor, urgentCpuAfterStart, reserve }: LongRunningStartConditions,
): boolean =>
    places > 0
    && (urgentCpuAfterStart >= reserve || (roomFreeFor ?? 0) >= unusedRoomDelay || waitingFor >= longestWait);
