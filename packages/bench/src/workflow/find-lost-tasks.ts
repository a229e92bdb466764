import type { ProtocolEvent } from "@jayfront/platform-stand-in";

import type { Disturbance } from "./service-history.js";

/** A time without a run of a long-running task that breaks the promise to start it again. */
export interface LostTask {
    readonly task: string;
    /** Monotonic time in ms at which its last run ended. */
    readonly from: number;
    /** Monotonic time in ms at which the promise was broken. */
    readonly lostAt: number;
    /** Monotonic time in ms of the next start; that of the end of the observation if there was none. */
    readonly until: number;
}

/** What {@link findLostTasks} judges by. */
export interface LostTaskEvidence {
    readonly events: readonly ProtocolEvent[];
    readonly disturbances: readonly Disturbance[];
    /** Monotonic time in ms at which the observation ended. */
    readonly endedAt: number;
}

/** Milliseconds for which a task that has run may be without a run. */
const longestAbsence = 9_000;
/** Milliseconds without a disturbance that have to precede a broken promise. */
const calmTime = 7_000;

/** Times without a run of the task, after its first one. */
const findGaps = (events: readonly ProtocolEvent[], endedAt: number): { from: number; until: number; }[] => {
    const gaps: { from: number; until: number; }[] = [];
    let runs = 0;
    for (const event of events) {
        const last = gaps.at(-1);
        if (event.kind === "started") {
            if (last?.until === endedAt) {
                last.until = event.at;
            }
            runs += 1;
        }
        else if (event.kind === "ended") {
            runs -= 1;
            if (runs === 0) {
                gaps.push({ from: event.at, until: endedAt });
            }
        }
    }
    return gaps;
};

/**
 * Finds the tasks that have run and were then without a run for over 9 s, of which the last 7 s had no disturbance. The
 * tasks have to run until the end of the observation, and to have room.
 */
export const findLostTasks = (
    tasks: readonly string[],
    { events, disturbances, endedAt }: LostTaskEvidence,
): readonly LostTask[] =>
    tasks.flatMap(task =>
        findGaps(events.filter(event => event.task === task), endedAt).flatMap(({ from, until }) => {
            const lostAt = [from + longestAbsence, ...disturbances.map(disturbance => disturbance.until + calmTime)]
                .filter(at => at >= from + longestAbsence && at < until)
                .filter(at => disturbances.every(({ from: begin, until: end }) => begin > at || end <= at - calmTime))
                .sort((left, right) => left - right)[0];
            return lostAt === undefined ? [] : [{ task, from, lostAt, until }];
        })
    );
