import { z } from "zod";

const count = z.number();
/** Fields of every line: Unix time in ms, and the workflow's id. */
const base = { time: count, job: z.string() };

/** The log messages of a daemon from which the time of workflows is derived; waits and run times are in ms. */
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

/** A decoded log line, told apart by its message `msg`. `time` is Unix time in ms. */
export type LogLine = z.infer<typeof logLine>;

/** Decodes a JSON log line, which may have a prefix; undefined if it is none of these messages or not valid JSON. */
export const parseLogLine = (text: string): LogLine | undefined => {
    const start = text.indexOf('{"');
    if (start < 0) {
        return undefined;
    }
    try {
        return logLine.safeParse(JSON.parse(text.slice(start))).data;
    }
    catch {
        // A line may be truncated where a process was killed, or come from another program.
        return undefined;
    }
};
