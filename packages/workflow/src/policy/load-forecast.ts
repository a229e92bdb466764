import type { SineRegression } from "./sine-regression.js";
import { createSineRegression } from "./sine-regression.js";

/**
 * Forecasts the speeds of workflows whose load swings. All swing with the same period, which is learned, each with a phase
 * of its own. Forecasts are compared with what comes, so that they promise no more than they have kept.
 */
export interface LoadForecast {
    /** Takes in the speed of a workflow with the standard deviation `noise`; `now` in ms of a steady clock. */
    readonly learn: (job: string, speed: number, noise: number, now: number) => void;
    /** Slowest speed expected from `now` until `ahead` ms later, on the safe side; undefined where nothing is known. */
    readonly slowestSpeed: (job: string, now: number, ahead: number) => number | undefined;
    /** Highest speed that the workflow can have now, by all that was seen of it; infinite where too little was. */
    readonly highestSpeed: (job: string, now: number) => number;
    readonly forget: (job: string) => void;
}

interface Forecast {
    readonly dueAt: number;
    readonly speed: number;
}

interface Wave {
    readonly fits: readonly SineRegression[];
    readonly startedAt: number;
    forecasts: Forecast[];
    /** Latest answers by how far they look ahead; they hold for a moment. */
    readonly answers: Map<number, { readonly at: number; readonly speed: number; }>;
}

/** Milliseconds of the shortest period that is told from noise, and of the longest that is short enough to be followed. */
const shortestPeriod = 7_000;
const longestPeriod = 42_000;
/** Periods that are tried; neighbours differ by 6%, a sixth of a turn over the memory of a fit. */
const periodCount = 31;
const periods = Array.from(
    { length: periodCount },
    (...[, index]) => shortestPeriod * (longestPeriod / shortestPeriod) ** (index / (periodCount - 1)),
);
/** Share of a period's score that is kept at each report; some hundred come each second. */
const scoreMemory = 0.9995;
/** Score by which another period has to be better, so that the choice does not flicker. */
const scoreMargin = 3;
/** Milliseconds between two forecasts that are checked, and how far ahead they look. */
const checkInterval = 1_000;
const checkAhead = 2_500;
/** Share of the known error that is kept at each check; some ten come each second. */
const errorMemory = 0.97;
/** Error that is assumed before any forecast was checked. */
const firstError = 0.8;
/** Multiple of the known error that is taken off a forecast. */
const safety = 0.7;
/** Milliseconds for which a workflow has to be seen before it is forecast. */
const firstSight = 3_000;
/** Speed that is expected of an unseen workflow. */
const unseenSpeed = 2.2;
/** Milliseconds for which an answer holds; a wave moves by a hundredth of its swing in that time. */
const answerLife = 60;
/** Points at which a span is looked at. */
const spanPoints = [0, 0.25, 0.5, 0.75, 1];

/** Creates a forecast that has seen nothing. */
export const createLoadForecast = (): LoadForecast => {
    const waves = new Map<string, Wave>();
    const scores = periods.map(() => 0);
    let best = Math.floor(periodCount / 2);
    let meanSquare = firstError ** 2;

    const scorePeriods = ({ fits }: Wave, speed: number, noise: number, now: number): void => {
        let leading = 0;
        fits.forEach((fit, index) => {
            const error = (speed - fit.predict(now)) ** 2 / (noise ** 2 + fit.variance(now));
            const score = (scores[index] ?? 0) * scoreMemory + error;
            scores[index] = score;
            leading = score < (scores[leading] ?? 0) ? index : leading;
        });
        if ((scores[best] ?? 0) - (scores[leading] ?? 0) > scoreMargin) {
            best = leading;
        }
    };
    const check = (wave: Wave, speed: number, noise: number, now: number): void => {
        const due = wave.forecasts.filter(forecast => forecast.dueAt <= now);
        for (const forecast of due) {
            // The report's own noise is no error of the forecast.
            const square = Math.max(0, (speed - forecast.speed) ** 2 - noise ** 2);
            meanSquare = meanSquare * errorMemory + square * (1 - errorMemory);
        }
        wave.forecasts = wave.forecasts.filter(forecast => forecast.dueAt > now);
        const latest = wave.forecasts.at(-1);
        if (latest === undefined || now + checkAhead - latest.dueAt >= checkInterval) {
            const dueAt = now + checkAhead;
            wave.forecasts.push({ dueAt, speed: wave.fits[best]?.predict(dueAt) ?? speed });
        }
    };
    return {
        learn: (job, speed, noise, now) => {
            const wave = waves.get(job) ?? {
                fits: periods.map(period => createSineRegression({ period, mean: unseenSpeed })),
                startedAt: now,
                forecasts: [],
                answers: new Map<number, { at: number; speed: number; }>(),
            };
            waves.set(job, wave);
            scorePeriods(wave, speed, noise, now);
            check(wave, speed, noise, now);
            wave.fits.forEach(fit => {
                fit.learn(speed, noise, now);
            });
        },
        slowestSpeed: (job, now, ahead) => {
            const wave = waves.get(job);
            const fit = wave?.fits[best];
            if (wave === undefined || fit === undefined || now - wave.startedAt < firstSight) {
                return undefined;
            }
            const known = wave.answers.get(ahead);
            if (known !== undefined && now - known.at < answerLife) {
                return known.speed;
            }
            const least = Math.min(...spanPoints.map(point => fit.predict(now + ahead * point)));
            const speed = least - safety * Math.sqrt(meanSquare);
            wave.answers.set(ahead, { at: now, speed });
            return speed;
        },
        highestSpeed: (job, now) => {
            const wave = waves.get(job);
            const fit = wave?.fits[best];
            return wave === undefined || fit === undefined || now - wave.startedAt < firstSight
                ? Infinity
                : fit.predict(now) + Math.sqrt(meanSquare);
        },
        forget: job => {
            waves.delete(job);
        },
    };
};
