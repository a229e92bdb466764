/**
 * Recursive least squares with drift (a Kalman filter) that learns non-negative weights of named shares from sums of
 * weight times share. It separates the weights of names that occur together as far as their shares vary between
 * samples.
 */
export interface ShareRegression {
    /** Learns that the weighted sum of the shares was `value`, measured with the standard deviation `noise`. */
    readonly learn: (shares: ReadonlyMap<string, number>, value: number, noise: number) => void;
    /** Learned weight of a name; the initial weight where it was never seen. */
    readonly weight: (name: string) => number;
    /** Standard deviation of that weight. */
    readonly deviation: (name: string) => number;
    /** Expected weighted sum of the shares. */
    readonly predict: (shares: ReadonlyMap<string, number>) => number;
    /** Variance of `predict(shares)`. */
    readonly variance: (shares: ReadonlyMap<string, number>) => number;
}

/** Options of {@link createShareRegression}. */
export interface ShareRegressionOptions {
    /** Weight of a name that was never seen. */
    readonly initialWeight: number;
    /** Standard deviation of that weight. */
    readonly initialDeviation: number;
    /** Standard deviation by which a weight may change between two samples that contain its name. */
    readonly drift: number;
}

/** Creates a regression that has learned nothing. */
export const createShareRegression = (
    { initialWeight, initialDeviation, drift }: ShareRegressionOptions,
): ShareRegression => {
    /** Indices of the names in `weights` and `covariance`. */
    const positions = new Map<string, number>();
    const weights: number[] = [];
    const covariance: number[][] = [];

    /** Index of a name, which is added with the initial weight where it is new. */
    const positionOf = (name: string): number => {
        const known = positions.get(name);
        if (known !== undefined) {
            return known;
        }
        const position = weights.length;
        positions.set(name, position);
        weights.push(initialWeight);
        covariance.forEach(row => row.push(0));
        covariance.push(
            Array.from({ length: position + 1 }, (...[, column]) => column === position ? initialDeviation ** 2 : 0),
        );
        return position;
    };
    const vectorOf = (shares: ReadonlyMap<string, number>): number[] => {
        const entries = [...shares].map(([name, share]) => [positionOf(name), share] as const);
        const vector = Array<number>(weights.length).fill(0);
        entries.forEach(([position, share]) => {
            vector[position] = share;
        });
        return vector;
    };
    const dot = (left: readonly number[], right: readonly number[]): number =>
        left.reduce((sum, value, position) => sum + value * (right[position] ?? 0), 0);
    const timesCovariance = (vector: readonly number[]): number[] => covariance.map(row => dot(row, vector));
    return {
        weight: name => weights[positions.get(name) ?? -1] ?? initialWeight,
        deviation: name => {
            const position = positions.get(name);
            return position === undefined ? initialDeviation : Math.sqrt(covariance[position]?.[position] ?? 0);
        },
        predict: shares => dot(weights, vectorOf(shares)),
        variance: shares => {
            const vector = vectorOf(shares);
            return dot(timesCovariance(vector), vector);
        },
        learn: (shares, value, noise) => {
            const vector = vectorOf(shares);
            covariance.forEach((row, position) => {
                if ((vector[position] ?? 0) > 0) {
                    row[position] = Math.min(initialDeviation ** 2, (row[position] ?? 0) + drift ** 2);
                }
            });
            const gain = timesCovariance(vector);
            const variance = dot(gain, vector) + noise ** 2;
            const error = value - dot(weights, vector);
            weights.forEach((weight, position) => {
                weights[position] = Math.max(0, weight + (gain[position] ?? 0) / variance * error);
            });
            covariance.forEach((row, left) => {
                row.forEach((entry, right) => {
                    row[right] = entry - (gain[left] ?? 0) * (gain[right] ?? 0) / variance;
                });
            });
        },
    };
};
