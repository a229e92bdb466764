import { createLoadForecast } from "./load-forecast.js";
import type { ShareRegression } from "./share-regression.js";
import { createShareRegression } from "./share-regression.js";

/** A serving task as one report of its worker shows it. */
export interface ServingSample {
    /** Tasks of one workflow share their users, so that their load rises and falls together. */
    readonly job: string;
    readonly image: string;
    /** Milliseconds. */
    readonly tail: number;
    /** Milliseconds. */
    readonly target: number;
}

/** What takes spare processor time on a worker, as shares of the worker's capacity by image. */
export type SpareCpuUsage = ReadonlyMap<string, number>;

/**
 * How tasks on spare processor time lengthen the tails of serving tasks, learned from reports.
 *
 * A tail behaves like that of a queue: its inverse falls in proportion to the load of the task itself and to the
 * processor share of its neighbours, by a factor that depends on both images. All figures are relative speeds: the
 * target divided by the tail, so that 1 is a task at its target.
 */
export interface InterferenceModel {
    /** Learns from one report of a worker; `now` in ms of a steady clock. */
    readonly learn: (samples: readonly ServingSample[], mix: SpareCpuUsage, now: number) => void;
    /** Speed that the tasks of a workflow have `now` (ms of a steady clock) beside nobody. */
    readonly soloSpeed: (job: string, now: number) => number;
    /** Slowest speed that they are expected to have beside nobody within `ahead` ms from `now`. */
    readonly slowestSoloSpeed: (job: string, now: number, ahead: number) => number;
    /** Loss of speed of the serving image for each whole worker's worth of the other. */
    readonly interference: (servingImage: string, spareImage: string) => number;
    /** Probability that the spare image hardly disturbs the serving one; see {@link harmlessPressure}. */
    readonly harmlessProbability: (servingImage: string, spareImage: string) => number;
    readonly forgetJob: (job: string) => void;
}

interface Load {
    speed: number;
    variance: number;
    floor: number;
    seenAt: number;
}

/** Speed lost to one whole worker's worth of an unknown image, and the standard deviation of that guess. */
const unknownPressure = { weight: 3, deviation: 5 } as const;
/** Pressure of a whole worker's worth below which a neighbour hardly matters: it lies between the two groups seen. */
const harmlessPressure = 2;
/** Slope at which a logistic curve follows the normal distribution. */
const normalSlope = 1.702;
/** Standard deviation below which a pressure is not taken to be known. */
const leastDeviation = 0.3;
/** Standard deviation by which a pressure may change from one report to the next. */
const pressureDrift = 0.1;
/** Standard deviation of a reported speed, as a share of the speed and at least; reports are rough. */
const reportNoise = { share: 0.2, least: 0.3 } as const;
/** Speed by which a workflow's load may change it within a second. */
const loadDrift = 0.4;
/** Speed below which a tail is so long that it tells only that there is too much pressure. */
const saturatedSpeed = 0.2;
/** Milliseconds in which the floor forgets two thirds of how slow a task once was; some periods of load. */
const floorMemory = 25_000;
/** Share of the present speed that is expected as floor of a workflow that was not seen for long. */
const firstFloorShare = 0.65;
/** Steps by which the speed that few workflows fall below follows what is seen: fast down, slowly up. */
const commonFloorStep = { down: 0.15, up: 0.001 } as const;
/** Speed that is expected of an unseen workflow. */
const unseenSpeed = 2.2;

const noiseOf = (speed: number): number => Math.max(reportNoise.least, reportNoise.share * speed);

/** Creates a model that has seen nothing. */
export const createInterferenceModel = (): InterferenceModel => {
    const pressures = new Map<string, ShareRegression>();
    const loads = new Map<string, Load>();
    /** Speed that the workflows of all images seldom fall below; what one has not shown yet, others have. */
    let commonFloor = unseenSpeed * firstFloorShare;

    const forecast = createLoadForecast();

    const pressuresOn = (image: string): ShareRegression => {
        const known = pressures.get(image) ?? createShareRegression({
            initialWeight: unknownPressure.weight,
            initialDeviation: unknownPressure.deviation,
            drift: pressureDrift,
        });
        pressures.set(image, known);
        return known;
    };
    const noteCommonFloor = (speed: number): void => {
        commonFloor += (speed - commonFloor) * (speed < commonFloor ? commonFloorStep.down : commonFloorStep.up);
    };
    const noteLoad = (job: string, speed: number, noise: number, now: number): void => {
        const known = loads.get(job);
        if (known === undefined) {
            loads.set(job, { speed, variance: noise ** 2, floor: speed * firstFloorShare, seenAt: now });
            return;
        }
        const age = (now - known.seenAt) / 1_000;
        const variance = known.variance + loadDrift ** 2 * age;
        const gain = variance / (variance + noise ** 2);
        known.speed += gain * (speed - known.speed);
        known.variance = (1 - gain) * variance;
        const memory = Math.exp(-(now - known.seenAt) / floorMemory);
        forecast.learn(job, speed, noise, now);
        known.floor = Math.min(known.speed, known.floor * memory + known.speed * (1 - memory));
        known.seenAt = now;
        noteCommonFloor(known.speed);
    };
    /** Speed that a workflow hardly falls below. */
    const floorSpeed = (job: string): number => Math.min(loads.get(job)?.floor ?? Infinity, commonFloor);
    const learnOne = ({ job, image, tail, target }: ServingSample, mix: SpareCpuUsage, now: number): void => {
        const speed = target / Math.max(1, tail);
        const noise = noiseOf(speed);
        if (mix.size === 0) {
            noteLoad(job, speed, noise, now);
            return;
        }
        const regression = pressuresOn(image);
        const load = loads.get(job);
        const loss = regression.predict(mix);
        const isSaturated = speed < saturatedSpeed;
        // Of a saturated tail only the least pressure is known.
        if (load !== undefined && !(isSaturated && load.speed - loss < saturatedSpeed)) {
            regression.learn(mix, load.speed - speed, Math.hypot(noise, Math.sqrt(load.variance)));
        }
        if (!isSaturated) {
            noteLoad(job, speed + loss, Math.hypot(noise, Math.sqrt(regression.variance(mix))), now);
        }
    };
    return {
        learn: (samples, mix, now) => {
            samples.forEach(sample => {
                learnOne(sample, mix, now);
            });
        },
        soloSpeed: (job, now) => Math.min(loads.get(job)?.speed ?? unseenSpeed, forecast.highestSpeed(job, now)),
        slowestSoloSpeed: (job, now, ahead) =>
            Math.max(floorSpeed(job), forecast.slowestSpeed(job, now, ahead) ?? -Infinity),
        interference: (servingImage, spareImage) => pressuresOn(servingImage).weight(spareImage),
        harmlessProbability: (servingImage, spareImage) => {
            const regression = pressuresOn(servingImage);
            const margin = harmlessPressure - regression.weight(spareImage);
            return 1
                / (1 + Math.exp(-normalSlope * margin / Math.max(leastDeviation, regression.deviation(spareImage))));
        },
        forgetJob: job => {
            loads.delete(job);
            forecast.forget(job);
        },
    };
};
