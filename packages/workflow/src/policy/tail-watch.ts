import type { Logger } from "pino";

import type { Run } from "../cell/run.js";

/** Slows tasks on spare processor time down where a serving task beside them nears its target. */
export interface TailWatch {
    /** Reviews all runs of one worker after its report. */
    readonly review: (runs: readonly Run[]) => void;
}

/** Options of {@link createTailWatch}. */
export interface TailWatchOptions {
    readonly throttle: (run: Run, percent: number) => void;
    readonly logger: Logger;
}

/** Share of a target above which neighbours are slowed down; reports lag half a second. */
const alarmShare = 0.85;
/** Share of a target below which they are let go again. */
const calmShare = 0.55;
/** Factor on the speed of neighbours at each alarm. */
const slowDown = 0.5;
/** Percent below which a neighbour is halted. */
const leastPace = 15;
/** Percent by which a neighbour is let go at a time. */
const speedUp = 20;
/** Milliseconds between two changes on a worker; a report covers the last half second. */
const reviewInterval = 450;

/** Creates a watch that has slowed nothing down. */
export const createTailWatch = ({ throttle, logger }: TailWatchOptions): TailWatch => {
    const reviewedAt = new Map<string, number>();
    const paceAfter = (pace: number, load: number): number => {
        if (load > alarmShare) {
            return pace * slowDown < leastPace ? 0 : Math.round(pace * slowDown);
        }
        return load < calmShare ? Math.min(100, pace + speedUp) : pace;
    };
    return {
        review: runs => {
            const worker = runs[0]?.worker;
            const now = performance.now();
            const serving = runs.filter(run => run.step.tailTarget !== undefined && run.phase === "running");
            const neighbours = runs.filter(run => run.step.usesSpareCpu && run.phase === "running");
            if (worker === undefined || neighbours.length === 0 || now - (reviewedAt.get(worker) ?? 0) < reviewInterval) {
                return;
            }
            reviewedAt.set(worker, now);
            const load = Math.max(0, ...serving.map(run => run.measure / (run.step.tailTarget ?? Infinity)));
            for (const run of neighbours) {
                const pace = paceAfter(run.pace, load);
                if (pace !== run.pace) {
                    const { job } = run.position;
                    logger.info({ job, task: run.task, run: run.number, worker, load, from: run.pace, to: pace }, "pace set");
                    throttle(run, pace);
                }
            }
        },
    };
};
