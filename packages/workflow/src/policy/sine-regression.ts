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

/** Mean, cosine and sine components. */
type Vector = [number, number, number];

const indices = [0, 1, 2] as const;

/** Milliseconds after which the weight of a report has fallen to 1/e; some periods. */
const memory = 40_000;
/** Standard deviations, before any report, of the mean and of the cosine and sine amplitudes. */
const initialDeviation = { mean: 1, amplitude: 0.8 } as const;

const dot = (left: Vector, right: Vector): number => left[0] * right[0] + left[1] * right[1] + left[2] * right[2];

/** Creates a regression that has learned nothing. */
export const createSineRegression = ({ period, mean }: SineRegressionOptions): SineRegression => {
    const frequency = 2 * Math.PI / period;
    const weights: Vector = [mean, 0, 0];
    /** Upper limits of the variances, since forgetting lets them grow. */
    const limits: Vector = [
        initialDeviation.mean ** 2,
        initialDeviation.amplitude ** 2,
        initialDeviation.amplitude ** 2,
    ];
    const covariance: [Vector, Vector, Vector] = [[limits[0], 0, 0], [0, limits[1], 0], [0, 0, limits[2]]];
    let learnedAt: number | undefined;

    /** The latest basis, cached because each report is compared with the fit several times before it is learned. */
    let latest: { readonly time: number; readonly vector: Vector; } | undefined;

    const basis = (time: number): Vector => {
        if (latest?.time !== time) {
            latest = { time, vector: [1, Math.cos(frequency * time), Math.sin(frequency * time)] };
        }
        return latest.vector;
    };
    const timesCovariance = (vector: Vector): Vector => [
        dot(covariance[0], vector),
        dot(covariance[1], vector),
        dot(covariance[2], vector),
    ];
    /** Inflates the covariance by the time since the last report, so that older reports count less. */
    const discount = (now: number): void => {
        const growth = Math.exp(Math.max(0, now - (learnedAt ?? now)) / memory);
        learnedAt = Math.max(now, learnedAt ?? now);
        for (const row of indices) {
            for (const column of indices) {
                covariance[row][column] *= growth;
            }
            covariance[row][row] = Math.min(covariance[row][row], limits[row]);
        }
    };
    return {
        learn: (value, noise, now) => {
            discount(now);
            const vector = basis(now);
            const gain = timesCovariance(vector);
            const total = dot(gain, vector) + noise ** 2;
            const error = value - dot(weights, vector);
            for (const row of indices) {
                weights[row] += gain[row] / total * error;
                for (const column of indices) {
                    covariance[row][column] -= gain[row] * gain[column] / total;
                }
            }
        },
        predict: time => dot(weights, basis(time)),
        variance: time => {
            const vector = basis(time);
            return dot(timesCovariance(vector), vector);
        },
    };
};
