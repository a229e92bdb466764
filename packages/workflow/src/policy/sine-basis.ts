/** The cosine and the sine of one period at the time of a {@link SineBasis}. */
export interface Oscillation {
    /** Radians per millisecond. */
    readonly frequency: number;
    readonly cosine: number;
    readonly sine: number;
}

/** Cosines and sines of several periods at one time, computed once for all that is learned of that time. */
export interface SineBasis {
    /** One for each period, in their order; updated by `moveTo`. */
    readonly oscillations: readonly Oscillation[];
    /** Sets the time, in ms of a monotonic clock. */
    readonly moveTo: (time: number) => void;
}

/** Creates a basis for periods in milliseconds; `moveTo` has to be called before it is used. */
export const createSineBasis = (periods: readonly number[]): SineBasis => {
    const oscillations = periods.map(period => ({ frequency: 2 * Math.PI / period, cosine: NaN, sine: NaN }));
    let currentTime: number | undefined;
    return {
        oscillations,
        moveTo: time => {
            if (time === currentTime) {
                return;
            }
            currentTime = time;
            for (const oscillation of oscillations) {
                oscillation.cosine = Math.cos(oscillation.frequency * time);
                oscillation.sine = Math.sin(oscillation.frequency * time);
            }
        },
    };
};
