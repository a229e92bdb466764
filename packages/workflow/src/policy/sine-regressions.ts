import type { Oscillation, SineBasis } from "./sine-basis.js";

/**
 * Recursive least squares with exponential forgetting for a value that oscillates about a mean, one fit for each
 * candidate period. It fits the mean and the sine and cosine amplitudes to noisy reports.
 */
export interface SineRegressions {
    /** Learns a value with the standard deviation `noise`; `now` in ms of a monotonic clock. */
    readonly learn: (value: number, noise: number, now: number) => void;
    /** Value that the fit of the period with this index expects at `time`, in ms of the same clock. */
    readonly predict: (index: number, time: number) => number;
    /**
     * By period, the squared error of the value expected at `now`, as a multiple of its variance. The array is overwritten
     * by the next call.
     */
    readonly squaredErrors: (value: number, noise: number, now: number) => readonly number[];
}

/** Options of {@link createSineRegressions}. */
export interface SineRegressionsOptions {
    /** Shared by all regressions for the same periods. */
    readonly basis: SineBasis;
    /** Mean that is assumed before any report. */
    readonly mean: number;
}

/** The fit of one period: weights of mean, cosine and sine, and the symmetric matrix of their covariances. */
interface Fit {
    readonly oscillation: Oscillation;
    mean: number;
    cosine: number;
    sine: number;
    meanMean: number;
    meanCosine: number;
    meanSine: number;
    cosineCosine: number;
    cosineSine: number;
    sineSine: number;
}

/** Milliseconds after which the weight of a report has fallen to 1/e; some periods. */
const memory = 40_000;
/** Standard deviations, before any report, of the mean and of the cosine and sine amplitudes. */
const initialDeviation = { mean: 1, amplitude: 0.8 } as const;
/** Upper limits of the variances, since forgetting lets them grow. */
const limits = { mean: initialDeviation.mean ** 2, amplitude: initialDeviation.amplitude ** 2 };

/**
 * Creates regressions that have learned nothing. Each report of a worker is learned by tens of fits, so that one loop
 * over them has the products of the covariance with the basis (`meanGain` and so on) written out.
 */
export const createSineRegressions = ({ basis, mean }: SineRegressionsOptions): SineRegressions => {
    const fits = basis.oscillations.map((oscillation): Fit => ({
        oscillation,
        mean,
        cosine: 0,
        sine: 0,
        meanMean: limits.mean,
        meanCosine: 0,
        meanSine: 0,
        cosineCosine: limits.amplitude,
        cosineSine: 0,
        sineSine: limits.amplitude,
    }));
    const errors = fits.map(() => 0);
    let learnedAt: number | undefined;
    return {
        learn: (value, noise, now) => {
            basis.moveTo(now);
            // Inflates the covariances by the time since the last report, so that older reports count less.
            const growth = Math.exp(Math.max(0, now - (learnedAt ?? now)) / memory);
            learnedAt = Math.max(now, learnedAt ?? now);
            for (const fit of fits) {
                const { cosine, sine } = fit.oscillation;
                const meanMean = Math.min(fit.meanMean * growth, limits.mean);
                const meanCosine = fit.meanCosine * growth;
                const meanSine = fit.meanSine * growth;
                const cosineCosine = Math.min(fit.cosineCosine * growth, limits.amplitude);
                const cosineSine = fit.cosineSine * growth;
                const sineSine = Math.min(fit.sineSine * growth, limits.amplitude);
                const error = value - (fit.mean + fit.cosine * cosine + fit.sine * sine);
                const meanGain = meanMean + meanCosine * cosine + meanSine * sine;
                const cosineGain = meanCosine + cosineCosine * cosine + cosineSine * sine;
                const sineGain = meanSine + cosineSine * cosine + sineSine * sine;
                const total = meanGain + cosineGain * cosine + sineGain * sine + noise ** 2;
                fit.mean += meanGain / total * error;
                fit.cosine += cosineGain / total * error;
                fit.sine += sineGain / total * error;
                fit.meanMean = meanMean - meanGain * meanGain / total;
                fit.meanCosine = meanCosine - meanGain * cosineGain / total;
                fit.meanSine = meanSine - meanGain * sineGain / total;
                fit.cosineCosine = cosineCosine - cosineGain * cosineGain / total;
                fit.cosineSine = cosineSine - cosineGain * sineGain / total;
                fit.sineSine = sineSine - sineGain * sineGain / total;
            }
        },
        predict: (index, time) => {
            const fit = fits[index];
            if (fit === undefined) {
                return mean;
            }
            const angle = fit.oscillation.frequency * time;
            return fit.mean + fit.cosine * Math.cos(angle) + fit.sine * Math.sin(angle);
        },
        squaredErrors: (value, noise, now) => {
            basis.moveTo(now);
            let index = 0;
            for (const fit of fits) {
                const { cosine, sine } = fit.oscillation;
                const meanGain = fit.meanMean + fit.meanCosine * cosine + fit.meanSine * sine;
                const cosineGain = fit.meanCosine + fit.cosineCosine * cosine + fit.cosineSine * sine;
                const sineGain = fit.meanSine + fit.cosineSine * cosine + fit.sineSine * sine;
                const error = value - (fit.mean + fit.cosine * cosine + fit.sine * sine);
                errors[index] = error ** 2 / (noise ** 2 + (meanGain + cosineGain * cosine + sineGain * sine));
                index += 1;
            }
            return errors;
        },
    };
};
