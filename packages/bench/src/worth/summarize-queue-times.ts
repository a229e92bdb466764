import type { LogLine } from "./log-line.js";

/** Where the time of a queue's completed workflows went. */
export interface QueueTimes {
    readonly queue: string;
    /** Number of workflows that completed. */
    readonly completed: number;
    /** Number of workflows that ended in any state, completed ones included. */
    readonly ended: number;
    /** Mean time from the answer to the submission to the end, in ms, over completed workflows. */
    readonly total: number;
    /** Mean time by cause in ms, over completed workflows. */
    readonly byCause: Readonly<Record<TimeCause, number>>;
}

/**
 * What the time of a workflow is spent on. A step waits because no worker has room, no worker with room is trusted, a start would interfere with
 * other tasks on the worker, the room is kept for urgent work, or only until the start is ordered. Then its tasks run;
 * "runs again" is the time of runs that did not succeed, and "slowed" is the time lost to throttling.
 */
export const timeCauses = [
    "waits for room",
    "waits for trust",
    "waits for neighbours",
    "kept for urgent work",
    "waits for an order",
    "runs",
    "runs again",
    "slowed",
] as const;

/** One of {@link timeCauses}. */
export type TimeCause = typeof timeCauses[number];

/** Unix times in ms. */
interface StepTimes {
    readyAt: number;
    lastStart: number;
    lastEnd: number;
    /** Why the step waited, if it waited longer than an order takes. */
    cause: TimeCause;
}

interface WorkflowTimes {
    readonly queue: string;
    readonly acceptedAt: number;
    readonly steps: Map<number, StepTimes>;
    /** Pace by task since the Unix time `at`; 1 is full speed. */
    readonly paces: Map<string, { readonly pace: number; readonly at: number; }>;
    endedAt: number | undefined;
    state: string;
    /** Milliseconds of runs that did not succeed. */
    failedRunMs: number;
    /** Milliseconds lost to throttling. */
    throttledMs: number;
}

/** Milliseconds; a shorter wait is due to the order itself. */
const maxOrderWait = 150;

const stepOfTask = (task: string): number => Number(task.split(".")[2] ?? 0);
const causeOf = (line: Extract<LogLine, { msg: "step waits"; }>): TimeCause =>
    line.withRoom === 0
        ? "waits for room"
        : line.trusted === 0
        ? "waits for trust"
        : line.isKeptForUrgent
        ? "kept for urgent work"
        : "waits for neighbours";

/** Applies one log line to the times of its workflow. */
type LineHandler<Message extends LogLine["msg"]> = (
    workflow: WorkflowTimes,
    line: Extract<LogLine, { msg: Message; }>,
) => void;

const stepOf = (workflow: WorkflowTimes, number: number, time: number): StepTimes => {
    const times = workflow.steps.get(number)
        ?? { readyAt: time, lastStart: time, lastEnd: time, cause: "waits for an order" as const };
    workflow.steps.set(number, times);
    return times;
};
const lineHandlers: { readonly [Message in LogLine["msg"]]: LineHandler<Message>; } = {
    "request answered": () => undefined,
    "step waits": (workflow, line) => {
        stepOf(workflow, line.step, line.time).cause = causeOf(line);
    },
    "start ordered": (workflow, line) => {
        const step = stepOf(workflow, line.step, line.time);
        step.readyAt = Math.min(step.readyAt, line.time - line.waited);
        step.lastStart = Math.max(step.lastStart, line.time);
    },
    "pace set": (workflow, line) => {
        const previous = workflow.paces.get(line.task);
        workflow.throttledMs += previous === undefined ? 0 : (line.time - previous.at) * (1 - previous.pace);
        workflow.paces.set(line.task, { pace: line.to / 100, at: line.time });
    },
    "run ended": (workflow, line) => {
        const step = stepOf(workflow, stepOfTask(line.task), line.time);
        step.lastEnd = Math.max(step.lastEnd, line.time);
        const pace = workflow.paces.get(line.task);
        workflow.throttledMs += pace === undefined ? 0 : (line.time - pace.at) * (1 - pace.pace);
        workflow.paces.delete(line.task);
        workflow.failedRunMs += line.outcome === "done" ? 0 : line.ranFor ?? 0;
        workflow.state = line.state;
        workflow.endedAt = line.state === "running" || line.state === "queued" ? undefined : line.time;
    },
};

const timesOf = (workflow: WorkflowTimes): Record<TimeCause, number> => {
    const times = Object.fromEntries(timeCauses.map(cause => [cause, 0])) as Record<TimeCause, number>;
    for (const step of workflow.steps.values()) {
        const waited = Math.max(0, step.lastStart - step.readyAt);
        const cause = waited <= maxOrderWait ? "waits for an order" : step.cause;
        times[cause] += waited;
        times.runs += Math.max(0, step.lastEnd - step.lastStart);
    }
    // Parts of the running time that are also listed separately.
    times["runs again"] = workflow.failedRunMs;
    times.slowed = workflow.throttledMs;
    return times;
};
const meanOf = (values: readonly number[]): number =>
    values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;

/** Summarizes log lines of any number of hosts, in any order, by queue. */
export const summarizeQueueTimes = (lines: Iterable<LogLine>): readonly QueueTimes[] => {
    const workflows = new Map<string, WorkflowTimes>();
    for (const line of [...lines].sort((left, right) => left.time - right.time)) {
        if (line.msg === "request answered") {
            const isAccepted = line.method === "POST" && line.status === 200 && !workflows.has(line.job);
            if (isAccepted) {
                workflows.set(line.job, {
                    queue: line.queue,
                    acceptedAt: line.time,
                    steps: new Map(),
                    paces: new Map(),
                    endedAt: undefined,
                    state: "queued",
                    failedRunMs: 0,
                    throttledMs: 0,
                });
            }
            continue;
        }
        const workflow = workflows.get(line.job);
        if (workflow !== undefined) {
            (lineHandlers[line.msg] as (workflow: WorkflowTimes, line: LogLine) => void)(workflow, line);
        }
    }
    const queues = [...new Set([...workflows.values()].map(({ queue }) => queue))].sort();
    return queues.map(queue => {
        const ended = [...workflows.values()].filter(workflow =>
            workflow.queue === queue && workflow.endedAt !== undefined
        );
        const completed = ended.filter(({ state }) => state === "completed");
        const times = completed.map(timesOf);
        return {
            queue,
            completed: completed.length,
            ended: ended.length,
            total: meanOf(completed.map(({ acceptedAt, endedAt }) => (endedAt ?? acceptedAt) - acceptedAt)),
            byCause: Object.fromEntries(
                timeCauses.map(cause => [cause, meanOf(times.map(time => time[cause]))]),
            ) as Record<TimeCause, number>,
        };
    });
};
