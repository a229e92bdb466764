/**
 * Least squares with forgetting for a value that swings about a mean with a known period: mean, sine and cosine are
 * fitted to rough reports.
 */
export interface SineRegression {
    /** Takes in a value with the standard deviation `noise`; `now` in ms of a steady clock. */
    readonly learn: (value: number, noise: number, now: number) => void;
    readonly predict: (time: number) => number;
    /** Variance of `at(time)`. */
    readonly variance: (time: number) => number;
}

/** Options of {@link createSineRegression}. */
export interface SineRegressionOptions {
    /** Milliseconds. */
    readonly period: number;
    /** Mean that is expected before anything was seen. */
    readonly mean: number;
}

type Vector = [number, number, number];

const indices = [0, 1, 2] as const;

/** Milliseconds after which a report counts a third: some periods. */
const memory = 40_000;
/** Standard deviations of the mean and of either half of the swing before anything was seen. */
const initialDeviation = { mean: 1, swing: 0.8 } as const;

const dot = (left: Vector, right: Vector): number => left[0] * right[0] + left[1] * right[1] + left[2] * right[2];

/** Creates a fit that has seen nothing. */
export const createSineRegression = ({ period, mean }: SineRegressionOptions): SineRegression => {
    const frequency = 2 * Math.PI / period;
    const weights: Vector = [mean, 0, 0];
    const limits: Vector = [initialDeviation.mean ** 2, initialDeviation.swing ** 2, initialDeviation.swing ** 2];
    const covariance: [Vector, Vector, Vector] = [[limits[0], 0, 0], [0, limits[1], 0], [0, 0, limits[2]]];
    let notedAt: number | undefined;

    /** The latest basis; a report is compared with the fit several times before it is taken in. */
    let latest: { readonly time: number; readonly vector: Vector; } | undefined;

    const basis = (time: number): Vector => {
        if (latest?.time !== time) {
            latest = { time, vector: [1, Math.cos(frequency * time), Math.sin(frequency * time)] };
        }
        return latest.vector;
    };
    const spread = (vector: Vector): Vector => [
        dot(covariance[0], vector),
        dot(covariance[1], vector),
        dot(covariance[2], vector),
    ];
    const forget = (now: number): void => {
        const growth = Math.exp(Math.max(0, now - (notedAt ?? now)) / memory);
        notedAt = Math.max(now, notedAt ?? now);
        for (const row of indices) {
            for (const column of indices) {
                covariance[row][column] *= growth;
            }
            covariance[row][row] = Math.min(covariance[row][row], limits[row]);
        }
    };
    return {
        learn: (value, noise, now) => {
            forget(now);
            const vector = basis(now);
            const gain = spread(vector);
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
            return dot(spread(vector), vector);
        },
    };
};
