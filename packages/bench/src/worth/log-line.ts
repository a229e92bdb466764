import { z } from "zod";

const count = z.number();
const base = { time: count, job: z.string() };

/** Lines of a daemon's log that tell where the time of workflows went. */
const logLine = z.discriminatedUnion("msg", [
    z.object({ ...base, msg: z.literal("request answered"), method: z.string(), queue: z.string(), status: count }),
    z.object({
        ...base,
        msg: z.literal("step waits"),
        step: count,
        withRoom: count,
        trusted: count,
        isKeptForUrgent: z.boolean(),
    }),
    z.object({ ...base, msg: z.literal("start ordered"), step: count, index: count, waited: count }),
    z.object({
        ...base,
        msg: z.literal("run ended"),
        task: z.string(),
        outcome: z.string(),
        ranFor: count.optional(),
        state: z.string(),
    }),
    z.object({ ...base, msg: z.literal("pace set"), task: z.string(), to: count }),
]);

/** A line of {@link logLine}, decoded. `time` is in Unix ms. */
export type LogLine = z.infer<typeof logLine>;

/** Decodes a line of a log, also behind a prefix; undefined where it tells nothing of workflows. */
export const parseLogLine = (text: string): LogLine | undefined => {
    const start = text.indexOf('{"');
    if (start < 0) {
        return undefined;
    }
    try {
        return logLine.safeParse(JSON.parse(text.slice(start))).data;
    }
    catch {
        // Lines may be cut off where a process ended, or belong to another program.
        return undefined;
    }
};
