/**
 * Least squares with forgetting for a value that swings about a mean with a known period: mean, sine and cosine are
 * fitted to rough reports.
 */
export interface WaveFit {
    /** Takes in a value with the standard deviation `noise`; `now` in ms of a steady clock. */
    readonly note: (value: number, noise: number, now: number) => void;
    readonly at: (time: number) => number;
    /** Variance of `at(time)`. */
    readonly variance: (time: number) => number;
}

/** Options of {@link createWaveFit}. */
export interface WaveFitOptions {
    /** Milliseconds. */
    readonly period: number;
    /** Mean that is expected before anything was seen. */
    readonly mean: number;
}

type Vector = [number, number, number];

/** Milliseconds after which a report counts a third: some periods. */
const memory = 40_000;
/** Standard deviations of the mean and of either half of the swing before anything was seen. */
const initialDeviation = { mean: 1, swing: 0.8 } as const;

const dot = (left: Vector, right: Vector): number => left[0] * right[0] + left[1] * right[1] + left[2] * right[2];

/** Creates a fit that has seen nothing. */
export const createWaveFit = ({ period, mean }: WaveFitOptions): WaveFit => {
    const frequency = 2 * Math.PI / period;
    const weights: Vector = [mean, 0, 0];
    const limits: Vector = [initialDeviation.mean ** 2, initialDeviation.swing ** 2, initialDeviation.swing ** 2];
    const covariance: [Vector, Vector, Vector] = [[limits[0], 0, 0], [0, limits[1], 0], [0, 0, limits[2]]];
    let notedAt: number | undefined;

    const basis = (time: number): Vector => [1, Math.cos(frequency * time), Math.sin(frequency * time)];
    const spread = (vector: Vector): Vector => [
        dot(covariance[0], vector),
        dot(covariance[1], vector),
        dot(covariance[2], vector),
    ];
    const forget = (now: number): void => {
        const growth = Math.exp(Math.max(0, now - (notedAt ?? now)) / memory);
        notedAt = Math.max(now, notedAt ?? now);
        for (const [row, entries] of covariance.entries()) {
            for (const column of [0, 1, 2] as const) {
                entries[column] *= growth;
            }
            const diagonal = row as 0 | 1 | 2;
            entries[diagonal] = Math.min(entries[diagonal], limits[diagonal]);
        }
    };
    return {
        note: (value, noise, now) => {
            forget(now);
            const vector = basis(now);
            const gain = spread(vector);
            const total = dot(gain, vector) + noise ** 2;
            const error = value - dot(weights, vector);
            for (const row of [0, 1, 2] as const) {
                weights[row] += gain[row] / total * error;
                for (const column of [0, 1, 2] as const) {
                    covariance[row][column] -= gain[row] * gain[column] / total;
                }
            }
        },
        at: time => dot(weights, basis(time)),
        variance: time => {
            const vector = basis(time);
            return dot(spread(vector), vector);
        },
    };
};
