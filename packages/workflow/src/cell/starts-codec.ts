import type { WorkerId } from "@jayfront/world";
import { z } from "zod";

import type { TaskName } from "../model/task-name.js";
import type { LocatedTask, StoredAbsences } from "./stored-starts.js";

const storedRow = z.object({
    restartAge: z.number().optional(),
    lateSignAge: z.number().optional(),
    /** Task, run, worker, age; then whether the task is long-running, may be delayed, and has lost its incarnation. */
    starts: z.array(z.tuple([
        z.string(),
        z.int(),
        z.string(),
        z.number(),
        z.boolean(),
        z.boolean(),
        z.boolean(),
    ])),
    hasAllStarts: z.boolean().default(true),
    absentTasks: z.array(z.string()).default([]),
    /** Task, then its workers. */
    locatedTasks: z.array(z.tuple([z.string()]).rest(z.string())).default([]),
    epoch: z.int().optional(),
});

/** Starts in a row, which holds at most 64 KB; one takes up to 80 bytes. */
const maxStarts = 800;
/** Bytes of a row for starts and absent tasks. */
const maxBytes = 64_000;
const bytesPerStart = 80;
const bytesPerTask = 40;
const bytesPerWorker = 24;

/** The first located tasks that fit into `bytes`. */
const fitLocated = (tasks: readonly LocatedTask[], bytes: number): readonly LocatedTask[] => {
    let free = bytes;
    return tasks.filter(({ workers }) => {
        free -= bytesPerTask + workers.length * bytesPerWorker;
        return free >= 0;
    });
};

/** Codec of the row of a cell's unanswered starts and absent tasks. */
export const startsCodec = {
    /**
     * Leaves out the oldest starts if there are too many for a row, and located and absent tasks for which there is no room
     * left.
     */
    encode: (stored: StoredAbsences): string => {
        const { restartAge, lateSignAge, starts, hasAllStarts, absentTasks, locatedTasks, epoch } = stored;
        const bytesForTasks = maxBytes - Math.min(starts.length, maxStarts) * bytesPerStart;
        const located = fitLocated(locatedTasks, bytesForTasks);
        const bytesForLocated = located.reduce(
            (sum, { workers }) => sum + bytesPerTask + workers.length * bytesPerWorker,
            0,
        );
        return JSON.stringify(
            {
                ...(restartAge === undefined ? {} : { restartAge: Math.round(restartAge) }),
                ...(lateSignAge === undefined ? {} : { lateSignAge: Math.round(lateSignAge) }),
                starts: starts.slice(-maxStarts).map(start => [
                    start.task,
                    start.run,
                    start.worker,
                    Math.round(start.age),
                    start.isLasting,
                    start.mayBeDelayed,
                    start.isIncarnationOver,
                ]),
                hasAllStarts: hasAllStarts && starts.length <= maxStarts,
                absentTasks: absentTasks.slice(0, Math.floor((bytesForTasks - bytesForLocated) / bytesPerTask)),
                locatedTasks: located.map(({ task, workers }): [string, ...string[]] => [task, ...workers]),
                epoch,
            } satisfies z.input<typeof storedRow>,
        );
    },
    /** Throws if the row is not valid. */
    decode: (value: string): StoredAbsences => {
        const { restartAge, lateSignAge, starts, hasAllStarts, absentTasks, locatedTasks, epoch } = storedRow.parse(
            JSON.parse(value),
        );
        return {
            epoch,
            restartAge,
            lateSignAge,
            hasAllStarts,
            starts: starts.map(([task, run, worker, age, isLasting, mayBeDelayed, isIncarnationOver]) => ({
                task: task as TaskName,
                run,
                worker: worker as WorkerId,
                age,
                isLasting,
                mayBeDelayed,
                isIncarnationOver,
            })),
            absentTasks: absentTasks as TaskName[],
            locatedTasks: locatedTasks.map(([task, ...workers]) => ({
                task: task as TaskName,
                workers: workers as WorkerId[],
            })),
        };
    },
};
