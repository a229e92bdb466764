import type { ProtocolEvent } from "@jayfront/platform-stand-in";

import type { ServiceHistory } from "./service-history.js";
import type { SubmittedWorkflow } from "./submitted-workflow.js";

/** A time in which a long-running task had no run although it should have had one. */
export interface UnservedTask {
    readonly task: string;
    /** Whether the task had run before. */
    readonly hasRun: boolean;
    /** Monotonic time in ms from which the task should have run, with room for it and without disturbance. */
    readonly from: number;
    /** Monotonic time in ms of the last moment of that time. */
    readonly until: number;
}

/** What {@link findUnservedTasks} judges by. */
export interface UnservedTaskEvidence {
    readonly events: readonly ProtocolEvent[];
    readonly service: ServiceHistory;
    /** Monotonic time in ms at which the observation ended. */
    readonly endedAt: number;
}

interface Gap {
    readonly hasRun: boolean;
    readonly from: number;
    readonly until: number;
}

/** Milliseconds for which a task may be without a run while there is room. */
const longestWait = 3_000;
/** Milliseconds after its last run from which a task has to run again. */
const restartTime = 6_000;
/** Milliseconds without a disturbance after which the service counts as undisturbed. */
const calmTime = 4_000;
/** Tasks of its size for which there has to be room. */
const neededPlaces = 2;

/** Times in which the task should have a run and has none. */
const findGaps = (
    task: string,
    acceptedAt: number,
    until: number,
    events: readonly ProtocolEvent[],
): readonly Gap[] => {
    const gaps: Gap[] = [];
    let hasRun = false;
    let from = acceptedAt;
    let runs = 0;
    for (const event of events) {
        if (event.task !== task || event.at > until) {
            continue;
        }
        if (event.kind === "started") {
            if (runs === 0) {
                gaps.push({ hasRun, from, until: event.at });
            }
            hasRun = true;
            runs += 1;
        }
        else if (event.kind === "ended") {
            runs -= 1;
            from = event.at + restartTime;
        }
    }
    return runs > 0 ? gaps : [...gaps, { hasRun, from, until }];
};

/** The longest parts of a gap in which each sample shows room and the service was undisturbed. */
const findServableParts = (gap: Gap, { capacity, disturbances }: ServiceHistory): readonly Gap[] => {
    const parts: Gap[] = [];
    let from: number | undefined;
    let last = gap.from;
    for (const { at, places } of capacity) {
        if (at < gap.from || at > gap.until) {
            continue;
        }
        const isCalm = disturbances.every(disturbance => disturbance.from > at || disturbance.until < at - calmTime);
        const total = [...places.values()].reduce((sum, count) => sum + count, 0);
        if (total >= neededPlaces && isCalm) {
            from ??= at;
        }
        else if (from !== undefined) {
            parts.push({ hasRun: gap.hasRun, from, until: last });
            from = undefined;
        }
        last = at;
    }
    return from === undefined ? parts : [...parts, { hasRun: gap.hasRun, from, until: last }];
};

/**
 * Finds the long-running tasks of an accepted workflow that were without a run for over 3 s while the service had room
 * for two of them all the time and nothing disturbed it, from 4 s before. The time counts from 6 s after the task's last
 * run, or from the acceptance if it has not run, until the workflow's cancellation was requested.
 */
export const findUnservedTasks = (
    { id, taskCount, isLasting, acceptedAt, cancelSentAt }: SubmittedWorkflow,
    { events, service, endedAt }: UnservedTaskEvidence,
): readonly UnservedTask[] => {
    if (!isLasting || acceptedAt === undefined) {
        return [];
    }
    const own = events.filter(event => event.task.startsWith(`${id}.`));
    const until = Math.min(cancelSentAt ?? Infinity, endedAt);
    // A long-running workflow consists of one step.
    return Array.from({ length: taskCount }, (...[, index]) => `${id}.0.0.${String(index)}`).flatMap(task =>
        findGaps(task, acceptedAt, until, own)
            .flatMap(gap => findServableParts(gap, service))
            .filter(part => part.until - part.from > longestWait)
            .map(part => ({ task, ...part }))
    );
};
