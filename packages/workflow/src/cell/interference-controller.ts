import type { JobId, WorkerId } from "@jayfront/world";
import type { Logger } from "pino";

import type { Step } from "../model/step.js";
import { hostingValue } from "../policy/hosting-value.js";
import type { ServingNeed, SpareTask } from "../policy/pace-plan.js";
import { planPaces } from "../policy/pace-plan.js";
import type { PressureModel, ServingSample } from "../policy/pressure-model.js";
import type { ServingSlack } from "../policy/serving-slack.js";
import { servingSlack } from "../policy/serving-slack.js";
import type { TailBrake } from "../policy/tail-brake.js";
import { createTailBrake } from "../policy/tail-brake.js";
import type { CellWorker } from "./cell-workers.js";
import type { Run } from "./run.js";

/** Watches how the tasks of a worker disturb each other, and slows those down that disturb too much. */
export interface InterferenceController {
    /** Takes in a worker's report. */
    readonly review: (worker: CellWorker, runs: readonly Run[]) => void;
    /** Whether serving tasks and tasks on spare processor time stand side by side. */
    readonly mayInterfere: (runs: readonly Run[]) => boolean;
    /** What stands on a worker now. */
    readonly summarizeServing: (worker: CellWorker, runs: readonly Run[]) => ServingSummary;
    /** Share of the spare work that the worker can't take any more once a serving task of the step is added. */
    readonly hostingLoss: (survey: ServingSummary, step: Step) => number;
    /**
     * Slack of the worker's serving tasks without a task of the step, and once one is added that runs for `runTime` ms; see
     * `servingSlack`.
     */
    readonly slackWith: (
        worker: CellWorker,
        survey: ServingSummary,
        step: Step,
        runTime: number,
    ) => ServingSlack;
}

/** What stands on a worker, as far as neighbours matter. */
export interface ServingSummary {
    /** Serving tasks by image. */
    readonly servingImages: ReadonlyMap<string, number>;
    /** Workflows that they belong to. */
    readonly servingWorkflows: ReadonlySet<JobId>;
    /** Thousandths of cores that they reserve. */
    readonly servingCpu: number;
    /** The slowest task of each serving image beside the present neighbours, at the load expected within so many ms. */
    readonly needsWithin: (ahead: number) => readonly ServingNeed[];
}

/** Options of {@link createInterferenceController}. */
export interface InterferenceControllerOptions {
    readonly model: PressureModel;
    readonly throttle: (run: Run, percent: number) => void;
    readonly logger: Logger;
}

/** Milliseconds between two reviews of a worker; its figures cover the last half second. */
const reviewInterval = 450;
/** Milliseconds ahead for which serving tasks should keep their targets beside a new neighbour: spans of its run. */
const placementHorizons = [1_500, 3_000, 5_000];
/** Multiple of a run's expected time that it takes beside others. */
const runTimeReserve = 1.2;
/** Smallest change of a pace in percent that is worth an order. */
const leastChange = 12;
/** Pressure below which the brake leaves a neighbour alone: it can't be why a tail is long. */
const unbrakedPressure = 1.2;
/** Percent below which a task is halted: its work would not pay for the disturbance. */
const leastPace = 10;

/** Share of the known demand that is kept from one report to the next; some thousand reports come in half a minute. */
const demandMemory = 0.999;
/** Demand while nothing has been seen: one image of which nothing is known. */
const unknownDemand: ReadonlyMap<string, number> = new Map([["", 1]]);

/** Creates a watch that has seen nothing. */
export const createInterferenceController = (
    { model, throttle, logger }: InterferenceControllerOptions,
): InterferenceController => {
    const reviewedAt = new Map<WorkerId, number>();
    const brakes = new Map<WorkerId, TailBrake>();
    /** How much of each image runs on spare processor time, over the latest reports. */
    const spareDemand = new Map<string, number>();

    const servingRuns = (runs: readonly Run[]): readonly Run[] =>
        runs.filter(run => run.step.tailTarget !== undefined && run.phase === "running" && run.percent >= 100);
    const spareRuns = (runs: readonly Run[]): readonly Run[] =>
        runs.filter(run => run.step.usesSpareCpu && run.phase !== "stopping");
    const spareTask = (worker: CellWorker, step: Step): SpareTask => ({
        image: step.image ?? "",
        share: step.cpu / worker.room.capacity().cpu,
    });
    const needOf = (run: Run, ownSpeed: number): ServingNeed => ({ image: run.step.image ?? "", ownSpeed });
    const learn = (worker: CellWorker, runs: readonly Run[], now: number): void => {
        const mix = new Map<string, number>();
        spareDemand.forEach((demand, image) => {
            spareDemand.set(image, demand * demandMemory);
        });
        for (const run of spareRuns(runs)) {
            const { image, share } = spareTask(worker, run.step);
            const used = run.measure > 0 ? run.measure / worker.room.capacity().cpu : share * run.pace / 100;
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
    const setPaces = (worker: CellWorker, runs: readonly Run[]): void => {
        // Of tasks that disturb alike, those that are furthest go first, so that their steps end.
        const spare = spareRuns(runs)
            .filter(run => run.phase === "running")
            .sort((left, right) => right.percent - left.percent);
        const brake = brakes.get(worker.session.id) ?? createTailBrake();
        brakes.set(worker.session.id, brake);
        const tails = servingRuns(runs).map(run => run.measure / (run.step.tailTarget ?? Infinity));
        const level = brake.note(Math.max(0, ...tails));
        const needs = servingRuns(runs).map(run => needOf(run, model.ownSpeed(run.position.job, performance.now())));
        const paces = planPaces(needs, spare.map(run => spareTask(worker, run.step)), model.pressure);
        const isHarmless = (run: Run): boolean =>
            needs.every(need => model.pressure(need.image, run.step.image ?? "") < unbrakedPressure);
        spare.forEach((run, index) => {
            const planned = Math.round((paces[index] ?? 1) * (isHarmless(run) ? 1 : level) * 100);
            const pace = planned < leastPace ? 0 : planned;
            const isEnd = pace !== run.pace && (pace === 0 || pace === 100);
            if (isEnd || Math.abs(pace - run.pace) >= leastChange) {
                const { job } = run.position;
                logger.info({ job, task: run.task, worker: run.worker, from: run.pace, to: pace, level }, "pace set");
                throttle(run, pace);
            }
        });
    };
    /** `losses`: loss of speed of each serving image by the spare tasks, filled as it is asked for. */
    const needsBeside = (
        serving: readonly Run[],
        spare: readonly SpareTask[],
        losses: Map<string, number>,
        ahead: number,
    ): readonly ServingNeed[] => {
        const now = performance.now();
        const slowest = new Map<string, number>();
        for (const { position, step: { image = "" } } of serving) {
            const speed = model.speedAhead(position.job, now, ahead);
            slowest.set(image, Math.min(speed, slowest.get(image) ?? Infinity));
        }
        return [...slowest].map(([image, speed]) => {
            const loss = losses.get(image)
                ?? spare.reduce((sum, task) => sum + model.pressure(image, task.image) * task.share, 0);
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
        summarizeServing: (worker, runs) => {
            const serving = runs.filter(run => run.step.tailTarget !== undefined);
            const spare = spareRuns(runs).map(run => spareTask(worker, run.step));
            const servingImages = new Map<string, number>();
            const losses = new Map<string, number>();
            const needs = new Map<number, readonly ServingNeed[]>();
            for (const { step: { image = "" } } of serving) {
                servingImages.set(image, (servingImages.get(image) ?? 0) + 1);
            }
            return {
                servingImages,
                servingWorkflows: new Set(serving.map(run => run.position.job)),
                servingCpu: serving.reduce((sum, run) => sum + run.step.cpu, 0),
                needsWithin: ahead => {
                    const known = needs.get(ahead) ?? needsBeside(serving, spare, losses, ahead);
                    needs.set(ahead, known);
                    return known;
                },
            };
        },
        hostingLoss: ({ servingImages }, { image = "" }) => {
            if (servingImages.size === 0 || servingImages.has(image)) {
                return 0;
            }
            const demand = spareDemand.size > 0 ? spareDemand : unknownDemand;
            const images = [...servingImages.keys()];
            return hostingValue(images, demand, model.harmlessness)
                - hostingValue([...images, image], demand, model.harmlessness);
        },
        slackWith: (worker, survey, step, runTime) => {
            const wanted = runTime * runTimeReserve;
            const ahead = placementHorizons.find(horizon => horizon >= wanted) ?? placementHorizons.at(-1) ?? wanted;
            return servingSlack(survey.needsWithin(ahead), [], spareTask(worker, step), model.pressure);
        },
    };
};
