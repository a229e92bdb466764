import type { WorkerId } from "@jayfront/world";

import { measuresSpeed } from "../policy/measures-speed.js";
import type { WorkerSpeeds } from "../policy/worker-speeds.js";
import type { WorkerReport } from "../port/worker-gateway.js";
import type { RunRegistry } from "./run-registry.js";
import type { RunStatistics, RunTimeExpectation } from "./run-statistics.js";
import type { Run } from "./run.js";

/** Measures the speeds of workers by the progress of their runs, in time of the workers' own clocks. */
export interface SpeedObserver {
    /** Takes in a report before the runs are updated by it. */
    readonly observe: (worker: WorkerId, report: WorkerReport) => void;
}

/** Options of {@link createSpeedObserver}. */
export interface SpeedObserverOptions {
    readonly runRegistry: Pick<RunRegistry, "find">;
    readonly speeds: Pick<WorkerSpeeds, "record" | "speedOf">;
    readonly expectationOf: RunStatistics["expectationOf"];
    /** Rack of the worker. */
    readonly rackOf: (worker: WorkerId) => string | undefined;
}

/** A report of a run from which on its progress is measured. */
interface Baseline {
    readonly percent: number;
    /** Time on the worker's clock in ms. */
    readonly clock: number;
    /** Whether an earlier part of the run was measured. */
    readonly isMeasured: boolean;
}

/** Least part of the expected time that is measured; percentages are whole numbers. */
const minPart = 0.2;
/** Least time in milliseconds that is measured. */
const minTime = 200;
/** Multiple of the expected time after which a run without any progress shows that its worker is slow. */
const overdueFactor = 3;

/** Slowness up to which a run on spare processor time shows that its worker has recovered. */
const soundSlowness = 1.5;

/** Creates an observer that has seen no report. */
export const createSpeedObserver = (
    { runRegistry, speeds, expectationOf, rackOf }: SpeedObserverOptions,
): SpeedObserver => {
    const baselines = new WeakMap<Run, Baseline>();
    const isComparable = ({ step, worker, phase, hasFullRunTime }: Run): boolean =>
        phase !== "stopping" && measuresSpeed(step, rackOf(worker))
        // On spare processor time, only whether a slow worker has recovered can be told, at full pace.
        && (!step.usesSpareCpu || hasFullRunTime && speeds.speedOf(worker) < 1);
    /** Records that `part` of the run, as a fraction, took so many milliseconds. */
    const record = (run: Run, part: number, took: number, { time, spread }: RunTimeExpectation): void => {
        const slowness = took / (part * time);
        if (!run.step.usesSpareCpu || slowness <= soundSlowness) {
            speeds.record(run.worker, { run, slowness, spread });
        }
    };
    const observeProgress = (run: Run, percent: number, clock: number): void => {
        const baseline = baselines.get(run);
        if (baseline === undefined || clock < baseline.clock || percent < baseline.percent) {
            baselines.set(run, { percent, clock, isMeasured: baseline?.isMeasured ?? false });
            return;
        }
        const took = clock - baseline.clock;
        const expectation = took < minTime ? undefined : expectationOf(run);
        if (expectation === undefined || took < expectation.time * minPart) {
            return;
        }
        const part = (percent - baseline.percent) / 100;
        if (part > 0) {
            record(run, part, took, expectation);
            baselines.set(run, { percent, clock, isMeasured: true });
        }
        else if (took >= expectation.time * overdueFactor) {
            record(run, 1, took, expectation);
        }
    };
    const observeEnd = (run: Run, clock: number): void => {
        const baseline = baselines.get(run);
        const expectation = expectationOf(run);
        if (expectation === undefined) {
            return;
        }
        const part = baseline === undefined ? 0 : (100 - baseline.percent) / 100;
        const took = baseline === undefined ? 0 : clock - baseline.clock;
        if (part >= minPart && took >= minTime) {
            record(run, part, took, expectation);
        }
        else if (run.hasFullRunTime && baseline?.isMeasured !== true) {
            // Most short runs are listed once at most. The delays of this process lengthen all of them alike.
            record(run, 1, performance.now() - run.startedAt, expectation);
        }
    };
    return {
        observe: (worker, { clock, running, ended }) => {
            for (const row of running) {
                const run = runRegistry.find(worker, row.task, row.run);
                if (run !== undefined && isComparable(run)) {
                    observeProgress(run, row.percent, clock);
                }
            }
            for (const row of ended) {
                const run = row.outcome === "done" ? runRegistry.find(worker, row.task, row.run) : undefined;
                if (run !== undefined && isComparable(run)) {
                    observeEnd(run, clock);
                }
            }
        },
    };
};
