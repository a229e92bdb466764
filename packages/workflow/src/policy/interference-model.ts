import { createLoadForecast } from "./load-forecast.js";
import type { ShareRegression } from "./share-regression.js";
import { createShareRegression } from "./share-regression.js";

/** Tail latency of a serving task in one report of its worker. */
export interface ServingSample {
    /** Workflow of the task; its tasks share their users, so that their loads rise and fall together. */
    readonly job: string;
    readonly image: string;
    /** Milliseconds. */
    readonly tail: number;
    /** Milliseconds. */
    readonly target: number;
}

/** Spare CPU in use on a worker: share of the worker's CPU capacity by image. */
export type SpareCpuUsage = ReadonlyMap<string, number>;

/**
 * Learns from reports how spare-CPU tasks lengthen the tail latency of serving tasks.
 *
 * All figures are relative speeds: the target divided by the tail latency, so that 1 is a task at its target. As in a
 * queue, the inverse of the tail latency falls in proportion to the load of the task itself and to the CPU share of the
 * spare-CPU tasks on its worker. The factor of the latter, the interference, depends on both images.
 */
export interface InterferenceModel {
    /** Learns from one report of a worker; `now` in ms of a monotonic clock. */
    readonly learn: (samples: readonly ServingSample[], usage: SpareCpuUsage, now: number) => void;
    /** Speed of a workflow's tasks without spare-CPU tasks beside them at `now`, in ms of a monotonic clock. */
    readonly soloSpeed: (job: string, now: number) => number;
    /** Lowest solo speed that is expected within `ahead` ms from `now`. */
    readonly slowestSoloSpeed: (job: string, now: number, ahead: number) => number;
    /** Loss of speed of the serving image per full worker's CPU capacity taken by the spare-CPU image. */
    readonly interference: (servingImage: string, spareImage: string) => number;
    /** Probability (0 to 1) that the interference is below {@link harmlessInterference}. */
    readonly harmlessProbability: (servingImage: string, spareImage: string) => number;
    /** Drops what was learned of a workflow's load. */
    readonly forgetJob: (job: string) => void;
}

/** Load of a workflow, expressed as the solo speed of its tasks. */
interface Load {
    speed: number;
    variance: number;
    /** Speed that the workflow seldom falls below. */
    floor: number;
    updatedAt: number;
}

/** Interference that is assumed of an unknown image, and the standard deviation of that guess. */
const unknownInterference = { weight: 3, deviation: 5 } as const;
/** Interference below which a spare-CPU task hardly matters; it separates the two groups of images seen. */
const harmlessInterference = 2;
/** Slope at which the logistic function approximates the normal distribution. */
const normalSlope = 1.702;
/** Least standard deviation that is assumed of a learned interference. */
const minDeviation = 0.3;
/** Standard deviation by which an interference may change from one report to the next. */
const interferenceDrift = 0.1;
/** Standard deviation of a reported speed: a share of the speed, but no less than `least`. */
const reportNoise = { share: 0.2, least: 0.3 } as const;
/** Standard deviation by which a change of load may change the speed within a second. */
const loadDrift = 0.4;
/** Speed below which the tail latency is so long that it gives only a lower bound of the interference. */
const saturatedSpeed = 0.2;
/** Milliseconds after which the weight of an earlier floor has fallen to 1/e; some periods of load. */
const floorMemory = 25_000;
/** Floor of a workflow that has not been seen for long, as a share of its present speed. */
const initialFloorShare = 0.65;
/** Shares of a difference by which the common floor follows the speeds seen: fast down, slowly up. */
const commonFloorStep = { down: 0.15, up: 0.001 } as const;
/** Speed that is assumed of an unseen workflow. */
const unseenSpeed = 2.2;

const noiseOf = (speed: number): number => Math.max(reportNoise.least, reportNoise.share * speed);

/** Creates a model that has learned nothing. */
export const createInterferenceModel = (): InterferenceModel => {
    /** By serving image. */
    const regressions = new Map<string, ShareRegression>();
    /** By workflow. */
    const loads = new Map<string, Load>();
    /** Speed that workflows of any image seldom fall below; stands in for lows that a workflow has not shown yet. */
    let commonFloor = unseenSpeed * initialFloorShare;

    const forecast = createLoadForecast();

    const regressionOf = (image: string): ShareRegression => {
        const regression = regressions.get(image) ?? createShareRegression({
            initialWeight: unknownInterference.weight,
            initialDeviation: unknownInterference.deviation,
            drift: interferenceDrift,
        });
        regressions.set(image, regression);
        return regression;
    };
    const updateCommonFloor = (speed: number): void => {
        commonFloor += (speed - commonFloor) * (speed < commonFloor ? commonFloorStep.down : commonFloorStep.up);
    };
    const updateLoad = (job: string, speed: number, noise: number, now: number): void => {
        const load = loads.get(job);
        if (load === undefined) {
            loads.set(job, { speed, variance: noise ** 2, floor: speed * initialFloorShare, updatedAt: now });
            return;
        }
        const seconds = (now - load.updatedAt) / 1_000;
        const variance = load.variance + loadDrift ** 2 * seconds;
        const gain = variance / (variance + noise ** 2);
        load.speed += gain * (speed - load.speed);
        load.variance = (1 - gain) * variance;
        const memory = Math.exp(-(now - load.updatedAt) / floorMemory);
        forecast.learn(job, speed, noise, now);
        load.floor = Math.min(load.speed, load.floor * memory + load.speed * (1 - memory));
        load.updatedAt = now;
        updateCommonFloor(load.speed);
    };
    /** Speed that a workflow seldom falls below. */
    const floorOf = (job: string): number => Math.min(loads.get(job)?.floor ?? Infinity, commonFloor);
    const learnOne = ({ job, image, tail, target }: ServingSample, usage: SpareCpuUsage, now: number): void => {
        const speed = target / Math.max(1, tail);
        const noise = noiseOf(speed);
        if (usage.size === 0) {
            updateLoad(job, speed, noise, now);
            return;
        }
        const regression = regressionOf(image);
        const load = loads.get(job);
        const loss = regression.predict(usage);
        const isSaturated = speed < saturatedSpeed;
        // A saturated sample gives only a lower bound of the loss, so it is skipped if the predicted loss explains it.
        if (load !== undefined && !(isSaturated && load.speed - loss < saturatedSpeed)) {
            regression.learn(usage, load.speed - speed, Math.hypot(noise, Math.sqrt(load.variance)));
        }
        if (!isSaturated) {
            updateLoad(job, speed + loss, Math.hypot(noise, Math.sqrt(regression.variance(usage))), now);
        }
    };
    return {
        learn: (samples, usage, now) => {
            samples.forEach(sample => {
                learnOne(sample, usage, now);
            });
        },
        soloSpeed: (job, now) => Math.min(loads.get(job)?.speed ?? unseenSpeed, forecast.highestSpeed(job, now)),
        slowestSoloSpeed: (job, now, ahead) =>
            Math.max(floorOf(job), forecast.slowestSpeed(job, now, ahead) ?? -Infinity),
        interference: (servingImage, spareImage) => regressionOf(servingImage).weight(spareImage),
        harmlessProbability: (servingImage, spareImage) => {
            const regression = regressionOf(servingImage);
            const margin = harmlessInterference - regression.weight(spareImage);
            return 1
                / (1 + Math.exp(-normalSlope * margin / Math.max(minDeviation, regression.deviation(spareImage))));
        },
        forgetJob: job => {
            loads.delete(job);
            forecast.forget(job);
        },
    };
};
