import type { WorkerId } from "@jayfront/world";
import { z } from "zod";

import type { TaskName } from "../model/task-name.js";
import type { StoredAbsences } from "./stored-starts.js";

const storedRow = z.object({
    restartAge: z.number().optional(),
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
    absentTasks: z.array(z.string()).default([]),
});

/** Starts in a row, which holds at most 64 KB; one takes up to 80 bytes. */
const maxStarts = 800;
/** Bytes of a row for starts and absent tasks. */
const maxBytes = 64_000;
const bytesPerStart = 80;
const bytesPerTask = 40;

/** Codec of the row of a cell's unanswered starts and absent tasks. */
export const startsCodec = {
    /** Leaves out the oldest starts if there are too many for a row, and absent tasks for which there is no room left. */
    encode: ({ restartAge, starts, absentTasks }: StoredAbsences): string =>
        JSON.stringify(
            {
                ...(restartAge === undefined ? {} : { restartAge: Math.round(restartAge) }),
                starts: starts.slice(-maxStarts).map(start => [
                    start.task,
                    start.run,
                    start.worker,
                    Math.round(start.age),
                    start.isLasting,
                    start.mayBeDelayed,
                    start.isIncarnationOver,
                ]),
                absentTasks: absentTasks.slice(
                    0,
                    Math.floor((maxBytes - Math.min(starts.length, maxStarts) * bytesPerStart) / bytesPerTask),
                ),
            } satisfies z.input<typeof storedRow>,
        ),
    /** Throws if the row is not valid. */
    decode: (value: string): StoredAbsences => {
        const { restartAge, starts, absentTasks } = storedRow.parse(JSON.parse(value));
        return {
            restartAge,
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
        };
    },
};
