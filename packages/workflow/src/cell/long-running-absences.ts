import type { TaskName } from "../model/task-name.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { Run } from "./run.js";

/** A long-running task without a confirmed run. */
export interface LongRunningAbsence {
    /** The run that the task lost. */
    readonly lost: Run;
    /** Milliseconds since the last report that listed that run. */
    readonly absentFor: number;
}

/** Follows long-running tasks from the loss of a run until the next one is confirmed, and measures the parts of it. */
export interface LongRunningAbsences {
    /** Records that a run is over, as far as this holder knows. */
    readonly recordEnd: (run: Run) => void;
    /** Records that a run was ordered, or adopted from an earlier holder. */
    readonly recordStart: (run: Run) => void;
    /** Records that a worker has confirmed the start of a run. */
    readonly recordConfirmation: (run: Run) => void;
    /** The tasks that have been absent for longer than the bound; each again after two seconds. */
    readonly takeOverdue: () => readonly LongRunningAbsence[];
}

/** Options of {@link createLongRunningAbsences}. */
export interface LongRunningAbsencesOptions {
    readonly metrics: Pick<WorkflowMetrics, "absenceSeconds">;
}

interface AbsenceRecord {
    readonly lost: Run;
    /** Monotonic time in ms at which the run was over, as far as this holder knows. */
    readonly overAt: number;
    /** Monotonic time in ms of the last order to start the task; undefined before the first. */
    orderedAt: number | undefined;
    /** Monotonic time in ms at which the absence was last returned as overdue. */
    takenAt: number;
}

/** Milliseconds within which a long-running task has to run again if its cell has room for it. */
const longestAbsence = 3_000;
/** Minimum milliseconds between two returns of the same absence. */
const repeatInterval = 2_000;
const msPerSecond = 1_000;

/** Creates a record without absences. */
export const createLongRunningAbsences = ({ metrics }: LongRunningAbsencesOptions): LongRunningAbsences => {
    const absences = new Map<TaskName, AbsenceRecord>();
    const observe = ({ lost, overAt }: AbsenceRecord, orderedAt: number): void => {
        const doubtedAt = Math.max(lost.reportedAt, Math.min(overAt, lost.doubtedAt ?? overAt));
        const parts: Readonly<Record<string, number>> = {
            detection: doubtedAt - lost.reportedAt,
            proof: overAt - doubtedAt,
            room: orderedAt - overAt,
            order: performance.now() - orderedAt,
        };
        for (const [part, milliseconds] of Object.entries(parts)) {
            metrics.absenceSeconds.observe({ part }, Math.max(0, milliseconds) / msPerSecond);
        }
    };
    return {
        recordEnd: run => {
            if (run.step.isLasting && !run.ledger.isSettled() && !absences.has(run.task)) {
                absences.set(run.task, {
                    lost: run,
                    overAt: performance.now(),
                    orderedAt: undefined,
                    takenAt: -Infinity,
                });
            }
        },
        recordStart: run => {
            const absence = absences.get(run.task);
            if (absence !== undefined) {
                absence.orderedAt = run.orderedAt;
            }
            if (run.phase === "running") {
                absences.delete(run.task);
            }
        },
        recordConfirmation: run => {
            const absence = absences.get(run.task);
            if (absence?.orderedAt !== undefined) {
                observe(absence, absence.orderedAt);
            }
            absences.delete(run.task);
        },
        takeOverdue: () => {
            const now = performance.now();
            const overdue: LongRunningAbsence[] = [];
            for (const [task, absence] of absences) {
                const { reportedAt, ledger, position } = absence.lost;
                const absentFor = now - reportedAt;
                const runsElsewhere = ledger.isTransferred(position) || ledger.isDone(position);
                if (ledger.isSettled() || runsElsewhere) {
                    absences.delete(task);
                }
                else if (absentFor > longestAbsence && now - absence.takenAt >= repeatInterval) {
                    absence.takenAt = now;
                    overdue.push({ lost: absence.lost, absentFor });
                }
            }
            return overdue;
        },
    };
};
