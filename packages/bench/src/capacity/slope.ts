/** A figure measured at several sizes, with a line fitted to the points. */
export interface Slope {
    /** What was measured. */
    readonly name: string;
    /** What the size counts, such as workers. */
    readonly size: string;
    /** Unit of the figure. */
    readonly unit: string;
    readonly points: readonly (readonly [size: number, figure: number])[];
    /** Figure at size 0 on the fitted line. */
    readonly base: number;
    /** Gradient of the fitted line: figure per unit of size. */
    readonly perUnit: number;
    /** Largest vertical distance of a point from the line, as a share of the largest figure. */
    readonly error: number;
}

/** Fits a line through `points` by least squares. */
export const fitSlope = (
    name: string,
    size: string,
    unit: string,
    points: readonly (readonly [size: number, figure: number])[],
): Slope => {
    const count = points.length;
    const meanSize = points.reduce((sum, [value]) => sum + value, 0) / count;
    const meanFigure = points.reduce((sum, [, value]) => sum + value, 0) / count;
    const covariance = points.reduce((sum, [left, right]) => sum + (left - meanSize) * (right - meanFigure), 0);
    const variance = points.reduce((sum, [value]) => sum + (value - meanSize) ** 2, 0);
    const perUnit = variance === 0 ? 0 : covariance / variance;
    const base = meanFigure - perUnit * meanSize;
    const largestFigure = Math.max(1e-12, ...points.map(([, value]) => Math.abs(value)));
    const largestDistance = Math.max(...points.map(([value, figure]) => Math.abs(figure - base - perUnit * value)));
    return { name, size, unit, points, base, perUnit, error: largestDistance / largestFigure };
};
