import type { LogLine } from "./log-line.js";

/** Where the time of a queue's workflows went, in ms for each workflow that has ended. */
export interface QueueTimes {
    readonly queue: string;
    /** Workflows that completed, and others that have ended. */
    readonly completed: number;
    readonly ended: number;
    /** Mean ms from the submission's answer to the end. */
    readonly total: number;
    /** Mean ms by cause; see {@link timeCauses}. */
    readonly byCause: Readonly<Record<TimeCause, number>>;
}

/**
 * Causes of time: waiting for workers with room, for workers that are trusted, for calm neighbours, for room kept for
 * urgent work, for an order; running, running once more after a run that came to nothing, and lost by slowing.
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

interface StepTimes {
    readyAt: number;
    lastStart: number;
    lastEnd: number;
    cause: TimeCause;
}

interface WorkflowTimes {
    readonly queue: string;
    readonly acceptedAt: number;
    readonly steps: Map<number, StepTimes>;
    readonly paces: Map<string, { readonly pace: number; readonly at: number; }>;
    endedAt: number | undefined;
    state: string;
    again: number;
    slowed: number;
}

/** Milliseconds of waiting that an order takes by itself. */
const orderTime = 150;

const stepOfTask = (task: string): number => Number(task.split(".")[2] ?? 0);
const causeOf = (line: Extract<LogLine, { msg: "step waits"; }>): TimeCause =>
    line.withRoom === 0
        ? "waits for room"
        : line.trusted === 0
        ? "waits for trust"
        : line.isKeptForUrgent
        ? "kept for urgent work"
        : "waits for neighbours";

/** Takes in one line. */
type Note<Message extends LogLine["msg"]> = (
    workflow: WorkflowTimes,
    line: Extract<LogLine, { msg: Message; }>,
) => void;

const stepOf = (workflow: WorkflowTimes, number: number, time: number): StepTimes => {
    const known = workflow.steps.get(number)
        ?? { readyAt: time, lastStart: time, lastEnd: time, cause: "waits for an order" as const };
    workflow.steps.set(number, known);
    return known;
};
const notes: { readonly [Message in LogLine["msg"]]: Note<Message>; } = {
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
        const before = workflow.paces.get(line.task);
        workflow.slowed += before === undefined ? 0 : (line.time - before.at) * (1 - before.pace);
        workflow.paces.set(line.task, { pace: line.to / 100, at: line.time });
    },
    "run ended": (workflow, line) => {
        const step = stepOf(workflow, stepOfTask(line.task), line.time);
        step.lastEnd = Math.max(step.lastEnd, line.time);
        const pace = workflow.paces.get(line.task);
        workflow.slowed += pace === undefined ? 0 : (line.time - pace.at) * (1 - pace.pace);
        workflow.paces.delete(line.task);
        workflow.again += line.outcome === "done" ? 0 : line.ranFor ?? 0;
        workflow.state = line.state;
        workflow.endedAt = line.state === "running" || line.state === "queued" ? undefined : line.time;
    },
};

const timesOf = (workflow: WorkflowTimes): Record<TimeCause, number> => {
    const times = Object.fromEntries(timeCauses.map(cause => [cause, 0])) as Record<TimeCause, number>;
    for (const step of workflow.steps.values()) {
        const waited = Math.max(0, step.lastStart - step.readyAt);
        const cause = waited <= orderTime ? "waits for an order" : step.cause;
        times[cause] += waited;
        times.runs += Math.max(0, step.lastEnd - step.lastStart);
    }
    // Parts of the running time, told by themselves.
    times["runs again"] = workflow.again;
    times.slowed = workflow.slowed;
    return times;
};
const meanOf = (values: readonly number[]): number =>
    values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;

/** Sums up the lines of all hosts, in any order of hosts. */
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
                    again: 0,
                    slowed: 0,
                });
            }
            continue;
        }
        const workflow = workflows.get(line.job);
        if (workflow !== undefined) {
            (notes[line.msg] as (workflow: WorkflowTimes, line: LogLine) => void)(workflow, line);
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
