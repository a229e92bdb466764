import { createSineBasis } from "./sine-basis.js";
import type { SineRegressions } from "./sine-regressions.js";
import { createSineRegressions } from "./sine-regressions.js";

/**
 * Forecasts the relative speed (see `InterferenceModel`) of workflows whose load oscillates. All workflows are assumed
 * to oscillate with one period, which is learned, each with its own phase. Forecasts are compared with later reports,
 * and a multiple of the error found there is subtracted from further forecasts.
 */
export interface LoadForecast {
    /** Learns a workflow's speed, reported with the standard deviation `noise`; `now` in ms of a monotonic clock. */
    readonly learn: (job: string, speed: number, noise: number, now: number) => void;
    /**
     * Slowest speed expected between `now` and `ahead` ms later, less a safety margin; undefined where the workflow has
     * not been seen for long enough.
     */
    readonly slowestSpeed: (job: string, now: number, ahead: number) => number | undefined;
    /** Highest plausible speed at `now`; infinite where the workflow has not been seen for long enough. */
    readonly highestSpeed: (job: string, now: number) => number;
    /** Drops what was learned of a workflow. */
    readonly forget: (job: string) => void;
}

/** A forecast that is compared with the first report from `dueAt` on. */
interface Forecast {
    readonly dueAt: number;
    readonly speed: number;
}

/** What was learned of one workflow. */
interface Wave {
    /** Has a fit for each of `periods`. */
    readonly fits: SineRegressions;
    readonly startedAt: number;
    /** Forecasts to be compared with later reports, oldest first. */
    forecasts: Forecast[];
    /** Cached results of `slowestSpeed` by `ahead`. */
    readonly cache: Map<number, { readonly at: number; readonly speed: number; }>;
}

/** Milliseconds of the shortest candidate period; shorter ones can't be distinguished from noise. */
const shortestPeriod = 7_000;
/** Milliseconds of the longest candidate period; longer ones are too long to be tracked. */
const longestPeriod = 42_000;
/** Number of candidate periods; adjacent ones differ by 6%, a sixth of a turn over the memory of a regression. */
const periodCount = 31;
const periods = Array.from(
    { length: periodCount },
    (...[, index]) => shortestPeriod * (longestPeriod / shortestPeriod) ** (index / (periodCount - 1)),
);
/** Share of a period's score that is kept at each report; some hundred reports come each second. */
const scoreRetention = 0.9995;
/** Score by which another period must be better to be chosen; the hysteresis avoids alternating between periods. */
const scoreMargin = 3;
/** Milliseconds between two forecasts of a workflow that are checked. */
const checkInterval = 1_000;
/** Milliseconds that checked forecasts look ahead. */
const checkAhead = 2_500;
/** Share of the mean square error that is kept at each check; some ten checks come each second. */
const errorRetention = 0.97;
/** Error that is assumed before any forecast has been checked. */
const initialError = 0.8;
/** Multiple of the root mean square error that is subtracted from a forecast. */
const safetyFactor = 0.7;
/** Milliseconds for which a workflow must be observed before it is forecast. */
const minObservation = 3_000;
/** Speed that is assumed of an unseen workflow. */
const unseenSpeed = 2.2;
/** Milliseconds for which a result is cached; a wave moves by a hundredth of its amplitude in that time. */
const cacheLifetime = 60;
/** Points of a time span, as shares of it, at which the slowest speed is searched. */
const spanPoints = [0, 0.25, 0.5, 0.75, 1];

/** Creates a forecast that has learned nothing. */
export const createLoadForecast = (): LoadForecast => {
    const waves = new Map<string, Wave>();
    const basis = createSineBasis(periods);
    /** Discounted sums of squared errors by candidate period; the lowest fits best. */
    const scores = periods.map(() => 0);
    /** Index of the period in use. */
    let best = Math.floor(periodCount / 2);
    let meanSquareError = initialError ** 2;

    const scorePeriods = ({ fits }: Wave, speed: number, noise: number, now: number): void => {
        let leading = 0;
        fits.squaredErrors(speed, noise, now).forEach((error, index) => {
            const score = (scores[index] ?? 0) * scoreRetention + error;
            scores[index] = score;
            leading = score < (scores[leading] ?? 0) ? index : leading;
        });
        if ((scores[best] ?? 0) - (scores[leading] ?? 0) > scoreMargin) {
            best = leading;
        }
    };
    /** Compares due forecasts with the reported speed, and adds the next forecast to check. */
    const checkForecasts = (wave: Wave, speed: number, noise: number, now: number): void => {
        const due = wave.forecasts.filter(forecast => forecast.dueAt <= now);
        for (const forecast of due) {
            // The noise of the report itself is not an error of the forecast.
            const square = Math.max(0, (speed - forecast.speed) ** 2 - noise ** 2);
            meanSquareError = meanSquareError * errorRetention + square * (1 - errorRetention);
        }
        wave.forecasts = wave.forecasts.filter(forecast => forecast.dueAt > now);
        const latest = wave.forecasts.at(-1);
        if (latest === undefined || now + checkAhead - latest.dueAt >= checkInterval) {
            const dueAt = now + checkAhead;
            wave.forecasts.push({ dueAt, speed: wave.fits.predict(best, dueAt) });
        }
    };
    return {
        learn: (job, speed, noise, now) => {
            const wave = waves.get(job) ?? {
                fits: createSineRegressions({ basis, mean: unseenSpeed }),
                startedAt: now,
                forecasts: [],
                cache: new Map<number, { at: number; speed: number; }>(),
            };
            waves.set(job, wave);
            scorePeriods(wave, speed, noise, now);
            checkForecasts(wave, speed, noise, now);
            wave.fits.learn(speed, noise, now);
        },
        slowestSpeed: (job, now, ahead) => {
            const wave = waves.get(job);
            if (wave === undefined || now - wave.startedAt < minObservation) {
                return undefined;
            }
            const cached = wave.cache.get(ahead);
            if (cached !== undefined && now - cached.at < cacheLifetime) {
                return cached.speed;
            }
            const slowest = Math.min(...spanPoints.map(point => wave.fits.predict(best, now + ahead * point)));
            const speed = slowest - safetyFactor * Math.sqrt(meanSquareError);
            wave.cache.set(ahead, { at: now, speed });
            return speed;
        },
        highestSpeed: (job, now) => {
            const wave = waves.get(job);
            return wave === undefined || now - wave.startedAt < minObservation
                ? Infinity
                : wave.fits.predict(best, now) + Math.sqrt(meanSquareError);
        },
        forget: job => {
            waves.delete(job);
        },
    };
};
