/**
 * Recursive least squares with exponential forgetting for a value that oscillates about a mean with a known period. It
 * fits the mean and the sine and cosine amplitudes to noisy reports.
 */
export interface SineRegression {
    /** Learns a value with the standard deviation `noise`; `now` in ms of a monotonic clock. */
    readonly learn: (value: number, noise: number, now: number) => void;
    /** Expected value at `time`, in ms of the same clock. */
    readonly predict: (time: number) => number;
    /** Variance of `predict(time)`. */
    readonly variance: (time: number) => number;
}

/** Options of {@link createSineRegression}. */
export interface SineRegressionOptions {
    /** Milliseconds. */
    readonly period: number;
    /** Mean that is assumed before any report. */
    readonly mean: number;
}

/** Milliseconds after which the weight of a report has fallen to 1/e; some periods. */
const memory = 40_000;
/** Standard deviations, before any report, of the mean and of the cosine and sine amplitudes. */
const initialDeviation = { mean: 1, amplitude: 0.8 } as const;

/** A symmetric matrix of mean, cosine and sine components. */
interface Covariance {
    meanMean: number;
    meanCosine: number;
    meanSine: number;
    cosineCosine: number;
    cosineSine: number;
    sineSine: number;
}

/**
 * Creates a regression that has learned nothing. Each report of a worker is learned by tens of regressions, so that the
 * three components are written out instead of loops over vectors.
 */
export const createSineRegression = ({ period, mean }: SineRegressionOptions): SineRegression => {
    const frequency = 2 * Math.PI / period;
    /** Upper limits of the variances, since forgetting lets them grow. */
    const limits = { mean: initialDeviation.mean ** 2, amplitude: initialDeviation.amplitude ** 2 };
    const weights = { mean, cosine: 0, sine: 0 };
    const covariance: Covariance = {
        meanMean: limits.mean,
        meanCosine: 0,
        meanSine: 0,
        cosineCosine: limits.amplitude,
        cosineSine: 0,
        sineSine: limits.amplitude,
    };
    let learnedAt: number | undefined;

    // The latest basis, cached because each report is compared with the fit several times before it is learned.
    let basisTime = NaN;
    let cosine = 0;
    let sine = 0;

    const updateBasis = (time: number): void => {
        if (time !== basisTime) {
            basisTime = time;
            cosine = Math.cos(frequency * time);
            sine = Math.sin(frequency * time);
        }
    };
    // The products of the covariance with the basis, by component.
    const meanGain = (): number => covariance.meanMean + covariance.meanCosine * cosine + covariance.meanSine * sine;
    const cosineGain = (): number =>
        covariance.meanCosine + covariance.cosineCosine * cosine + covariance.cosineSine * sine;
    const sineGain = (): number => covariance.meanSine + covariance.cosineSine * cosine + covariance.sineSine * sine;
    /** Inflates the covariance by the time since the last report, so that older reports count less. */
    const discount = (now: number): void => {
        const growth = Math.exp(Math.max(0, now - (learnedAt ?? now)) / memory);
        learnedAt = Math.max(now, learnedAt ?? now);
        covariance.meanMean = Math.min(covariance.meanMean * growth, limits.mean);
        covariance.meanCosine *= growth;
        covariance.meanSine *= growth;
        covariance.cosineCosine = Math.min(covariance.cosineCosine * growth, limits.amplitude);
        covariance.cosineSine *= growth;
        covariance.sineSine = Math.min(covariance.sineSine * growth, limits.amplitude);
    };
    const predict = (time: number): number => {
        updateBasis(time);
        return weights.mean + weights.cosine * cosine + weights.sine * sine;
    };
    const variance = (time: number): number => {
        updateBasis(time);
        return meanGain() + cosineGain() * cosine + sineGain() * sine;
    };
    return {
        learn: (value, noise, now) => {
            discount(now);
            const error = value - predict(now);
            const total = variance(now) + noise ** 2;
            const gain = { mean: meanGain(), cosine: cosineGain(), sine: sineGain() };
            weights.mean += gain.mean / total * error;
            weights.cosine += gain.cosine / total * error;
            weights.sine += gain.sine / total * error;
            covariance.meanMean -= gain.mean * gain.mean / total;
            covariance.meanCosine -= gain.mean * gain.cosine / total;
            covariance.meanSine -= gain.mean * gain.sine / total;
            covariance.cosineCosine -= gain.cosine * gain.cosine / total;
            covariance.cosineSine -= gain.cosine * gain.sine / total;
            covariance.sineSine -= gain.sine * gain.sine / total;
        },
        predict,
        variance,
    };
};
