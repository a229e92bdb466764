import type { JobId, WorkerId } from "@jayfront/world";
import type { Logger } from "pino";

import type { Step } from "../model/step.js";
import { compatibleSpareShare } from "../policy/compatible-spare-share.js";
import type { InterferenceModel, ServingSample } from "../policy/interference-model.js";
import type { ServingTask, SpareCpuTask } from "../policy/plan-paces.js";
import { planPaces } from "../policy/plan-paces.js";
import type { ServingSlack } from "../policy/serving-slack.js";
import { servingSlack } from "../policy/serving-slack.js";
import type { TailLatencyThrottle } from "../policy/tail-latency-throttle.js";
import { createTailLatencyThrottle } from "../policy/tail-latency-throttle.js";
import type { CellWorker } from "./cell-workers.js";
import type { Run } from "./run.js";

/** Observes how colocated tasks of a worker interfere, and throttles spare-CPU tasks that harm serving tasks. */
export interface InterferenceController {
    /** Learns from the worker's latest report and sets the paces of its spare-CPU tasks. */
    readonly review: (worker: CellWorker, runs: readonly Run[]) => void;
    /** Whether the runs include both serving tasks and spare-CPU tasks. */
    readonly mayInterfere: (runs: readonly Run[]) => boolean;
    /**
     * Summarizes the serving tasks among the runs of a worker. `expected`: steps of tasks that are to start there; those that
     * use spare CPU count as present.
     */
    readonly summarizeServing: (worker: CellWorker, runs: readonly Run[], expected?: readonly Step[]) => ServingSummary;
    /** Share of the spare-CPU work that the worker can no longer run once a serving task of the step is added. */
    readonly compatibleShareLoss: (summary: ServingSummary, step: Step) => number;
    /**
     * Slack of the worker's serving tasks before and after the addition of a task of the step, over the `runTime` ms
     * that it is expected to run; see `servingSlack`.
     */
    readonly slackWith: (
        worker: CellWorker,
        summary: ServingSummary,
        step: Step,
        runTime: number,
    ) => ServingSlack;
}

/** The serving tasks of a worker, as far as interference depends on them. */
export interface ServingSummary {
    /** Number of serving tasks by image. */
    readonly servingImages: ReadonlyMap<string, number>;
    /** Workflows that the serving tasks belong to. */
    readonly servingWorkflows: ReadonlySet<JobId>;
    /** Millicores that the serving tasks reserve. */
    readonly servingCpu: number;
    /** Whether spare-CPU tasks are halted for the sake of the serving tasks. */
    readonly hasHaltedTasks: boolean;
    /** Slowest task of each serving image, with current spare-CPU tasks and the load forecast for `ahead` ms. */
    readonly slowestTasksWithin: (ahead: number) => readonly ServingTask[];
}

/** Options of {@link createInterferenceController}. */
export interface InterferenceControllerOptions {
    readonly model: InterferenceModel;
    /** Lets the run work at `percent` of its speed. */
    readonly throttle: (run: Run, percent: number) => void;
    readonly logger: Logger;
}

/** Minimum milliseconds between two reviews of a worker; the figures in its reports cover the last half second. */
const reviewInterval = 450;
/**
 * Milliseconds ahead for which serving tasks should keep their targets, by the load forecast, beside a newly placed
 * task; the first that covers the task's run is used.
 */
const placementHorizons = [1_500, 3_000, 5_000];
/** Multiple of the expected run time that a task takes when colocated with others. */
const runTimeMargin = 1.2;
/** Smallest change of a pace, in percentage points, for which an order is sent; 0 and 100 are always set. */
const minPaceChange = 12;
/** Interference below which the tail-latency throttle spares a task: it can't be the cause of a high tail latency. */
const minThrottledInterference = 1.2;
/** Milliseconds without use of processor time and without progress after which a run counts as halted. */
const haltedTime = 900;
/** Pace in percent below which a task is halted, since its progress would not justify the interference. */
const minPace = 10;

/** Share of the recorded demand that is kept at each report; about a thousand reports arrive in half a minute. */
const demandRetention = 0.999;
/** Demand that is assumed before the first report: one unknown image. */
const defaultDemand: ReadonlyMap<string, number> = new Map([["", 1]]);

/** Creates a controller that has not received any report. */
export const createInterferenceController = (
    { model, throttle, logger }: InterferenceControllerOptions,
): InterferenceController => {
    const reviewedAt = new Map<WorkerId, number>();
    const tailLatencyThrottles = new Map<WorkerId, TailLatencyThrottle>();
    /** Spare-CPU tasks by image, as a decaying sum of their shares of worker capacity over the latest reports. */
    const spareDemand = new Map<string, number>();

    const servingRuns = (runs: readonly Run[]): readonly Run[] =>
        runs.filter(run => run.step.tailTarget !== undefined && run.phase === "running" && run.percent >= 100);
    const spareRuns = (runs: readonly Run[]): readonly Run[] =>
        runs.filter(run => run.step.usesSpareCpu && run.phase !== "stopping");
    const toSpareTask = (worker: CellWorker, step: Step): SpareCpuTask => ({
        image: step.image ?? "",
        share: step.cpu / worker.resources.capacity().cpu,
    });
    /** Whether the worker reports no progress although the run should work; a delayed order may have halted it. */
    const isHaltedUnexpectedly = (run: Run): boolean =>
        run.pace !== undefined && run.pace > 0 && run.measure === 0
        && run.reportedAt - run.percentChangedAt > haltedTime;
    const toServingTask = (run: Run, ownSpeed: number): ServingTask => ({ image: run.step.image ?? "", ownSpeed });
    const learn = (worker: CellWorker, runs: readonly Run[], now: number): void => {
        const mix = new Map<string, number>();
        spareDemand.forEach((demand, image) => {
            spareDemand.set(image, demand * demandRetention);
        });
        for (const run of spareRuns(runs)) {
            const { image, share } = toSpareTask(worker, run.step);
            const used = run.measure > 0
                ? run.measure / worker.resources.capacity().cpu
                : share * (run.pace ?? 100) / 100;
            mix.set(image, (mix.get(image) ?? 0) + used);
            spareDemand.set(image, (spareDemand.get(image) ?? 0) + share);
        }
        const samples = servingRuns(runs).filter(run => run.measure > 0).map((run): ServingSample => ({
            job: run.position.job,
            image: run.step.image ?? "",
            tail: run.measure,
            target: run.step.tailTarget ?? Infinity,
        }));
        model.learn(samples, mix, now);
    };
    /** Whether tasks of the step are too harmless to serving tasks of these images to be throttled by tail latency. */
    const isHarmless = ({ image = "" }: Step, servingImages: readonly string[]): boolean =>
        servingImages.every(serving => model.interference(serving, image) < minThrottledInterference);
    const setPaces = (worker: CellWorker, runs: readonly Run[]): void => {
        // Among tasks with equal interference, those with the most progress go first, so that their steps complete.
        const spare = spareRuns(runs)
            .filter(run => run.phase === "running")
            .sort((left, right) => right.percent - left.percent);
        const tailLatencyThrottle = tailLatencyThrottles.get(worker.session.id) ?? createTailLatencyThrottle();
        tailLatencyThrottles.set(worker.session.id, tailLatencyThrottle);
        const tailRatios = servingRuns(runs).map(run => run.measure / (run.step.tailTarget ?? Infinity));
        const level = tailLatencyThrottle.update(Math.max(0, ...tailRatios));
        const servingTasks = servingRuns(runs).map(run =>
            toServingTask(run, model.soloSpeed(run.position.job, performance.now()))
        );
        const paces = planPaces(servingTasks, spare.map(run => toSpareTask(worker, run.step)), model.interference);
        const servingImages = servingTasks.map(task => task.image);
        spare.forEach((run, index) => {
            const planned = Math.round((paces[index] ?? 1) * (isHarmless(run.step, servingImages) ? 1 : level) * 100);
            const pace = planned < minPace ? 0 : planned;
            const current = isHaltedUnexpectedly(run) ? undefined : run.pace;
            const isAtLimit = pace !== current && (pace === 0 || pace === 100);
            if (current === undefined || isAtLimit || Math.abs(pace - current) >= minPaceChange) {
                const { job } = run.position;
                logger.info({ job, task: run.task, worker: run.worker, from: current, to: pace, level }, "pace set");
                throttle(run, pace);
            }
        });
    };
    /**
     * Finds the slowest serving task of each image. `losses`: cache of the speed that each serving image loses to the
     * spare-CPU tasks.
     */
    const findSlowestTasks = (
        serving: readonly Run[],
        spare: readonly SpareCpuTask[],
        losses: Map<string, number>,
        ahead: number,
    ): readonly ServingTask[] => {
        const now = performance.now();
        const slowest = new Map<string, number>();
        for (const { position, step: { image = "" } } of serving) {
            const speed = model.slowestSoloSpeed(position.job, now, ahead);
            slowest.set(image, Math.min(speed, slowest.get(image) ?? Infinity));
        }
        return [...slowest].map(([image, speed]) => {
            const loss = losses.get(image)
                ?? spare.reduce((sum, task) => sum + model.interference(image, task.image) * task.share, 0);
            losses.set(image, loss);
            return { image, ownSpeed: speed - loss };
        });
    };
    return {
        review: (worker, runs) => {
            const now = performance.now();
            const { id } = worker.session;
            if (now - (reviewedAt.get(id) ?? -Infinity) < reviewInterval) {
                return;
            }
            reviewedAt.set(id, now);
            learn(worker, runs, now);
            setPaces(worker, runs);
        },
        mayInterfere: runs =>
            runs.some(run => run.step.usesSpareCpu) && runs.some(run => run.step.tailTarget !== undefined),
        summarizeServing: (worker, runs, expected = []) => {
            const serving = runs.filter(run => run.step.tailTarget !== undefined);
            const spareSteps = [
                ...spareRuns(runs).map(({ step }) => step),
                ...expected.filter(step => step.usesSpareCpu),
            ];
            const spare = spareSteps.map(step => toSpareTask(worker, step));
            const servingImages = new Map<string, number>();
            const losses = new Map<string, number>();
            const slowestTasks = new Map<number, readonly ServingTask[]>();
            for (const { step: { image = "" } } of serving) {
                servingImages.set(image, (servingImages.get(image) ?? 0) + 1);
            }
            return {
                servingImages,
                servingWorkflows: new Set(serving.map(run => run.position.job)),
                servingCpu: serving.reduce((sum, run) => sum + run.step.cpu, 0),
                hasHaltedTasks: spareRuns(runs).some(run => run.pace === 0),
                slowestTasksWithin: ahead => {
                    const cached = slowestTasks.get(ahead) ?? findSlowestTasks(serving, spare, losses, ahead);
                    slowestTasks.set(ahead, cached);
                    return cached;
                },
            };
        },
        compatibleShareLoss: ({ servingImages }, { image = "" }) => {
            if (servingImages.size === 0 || servingImages.has(image)) {
                return 0;
            }
            const demand = spareDemand.size > 0 ? spareDemand : defaultDemand;
            const images = [...servingImages.keys()];
            return compatibleSpareShare(images, demand, model.harmlessProbability)
                - compatibleSpareShare([...images, image], demand, model.harmlessProbability);
        },
        slackWith: (worker, summary, step, runTime) => {
            const wanted = runTime * runTimeMargin;
            const ahead = placementHorizons.find(horizon => horizon >= wanted) ?? placementHorizons.at(-1) ?? wanted;
            const slack = servingSlack(
                summary.slowestTasksWithin(ahead),
                [],
                toSpareTask(worker, step),
                model.interference,
            );
            // What would be halted at the next review should start elsewhere.
            return summary.hasHaltedTasks && !isHarmless(step, [...summary.servingImages.keys()])
                ? { ...slack, after: -Infinity }
                : slack;
        },
    };
};
