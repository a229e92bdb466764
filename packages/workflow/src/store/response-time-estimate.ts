/** Estimates how long a server takes to answer, and derives the timeout of the next call from it. */
export interface ResponseTimeEstimate {
    /** Records the milliseconds that an answered call took. */
    readonly recordAnswer: (milliseconds: number) => void;
    /** Records that a call with this timeout, in milliseconds, was not answered. */
    readonly recordTimeout: (timeout: number) => void;
    /** Milliseconds after which the next call counts as unanswered. */
    readonly timeout: () => number;
}

/** Options of {@link createResponseTimeEstimate}. */
export interface ResponseTimeEstimateOptions {
    /** Shortest timeout in milliseconds; also the timeout before the first answer. */
    readonly minTimeout: number;
    /** Longest timeout in milliseconds. */
    readonly maxTimeout: number;
}

/** Weight of a new sample in the smoothed mean, and in the smoothed deviation (RFC 6298). */
const meanGain = 1 / 8;
const deviationGain = 1 / 4;
/** Deviations by which the timeout exceeds the mean (RFC 6298). */
const deviationFactor = 4;

/**
 * Creates an estimate in the manner of TCP's retransmission timeout (RFC 6298): mean plus four deviations. An unanswered
 * call doubles the timeout until a call is answered, since the server may have become slower than the estimate allows.
 */
export const createResponseTimeEstimate = (
    { minTimeout, maxTimeout }: ResponseTimeEstimateOptions,
): ResponseTimeEstimate => {
    let mean: number | undefined;
    let deviation = 0;
    /** Timeout after unanswered calls, in milliseconds; 0 if the last call was answered. */
    let backedOffTimeout = 0;
    return {
        recordAnswer: milliseconds => {
            if (mean === undefined) {
                mean = milliseconds;
                deviation = milliseconds / 2;
            }
            else {
                deviation += (Math.abs(milliseconds - mean) - deviation) * deviationGain;
                mean += (milliseconds - mean) * meanGain;
            }
            backedOffTimeout = 0;
        },
        recordTimeout: timeout => {
            backedOffTimeout = Math.max(backedOffTimeout, timeout * 2);
        },
        timeout: () => {
            const estimated = mean === undefined ? 0 : mean + deviationFactor * deviation;
            return Math.min(maxTimeout, Math.max(minTimeout, estimated, backedOffTimeout));
        },
    };
};
