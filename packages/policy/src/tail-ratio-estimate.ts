import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";

/** Ratio of the 99th percentile of a service's latency to its predicted mean, learned from single requests. */
export interface TailRatioEstimate {
    /** Learns the latency of one request, given the mean that was predicted for it; both in milliseconds. */
    readonly record: (latency: number, predictedMean: number) => void;
    /** Current estimate of the ratio. */
    readonly value: () => number;
}

/** Options of {@link createTailRatioEstimate}. */
export interface TailRatioEstimateOptions {
    /** Requests in each of the two windows. Default 1,500. */
    readonly window?: number;
    /** Ratio until enough requests were recorded. Default 2.6. */
    readonly initialRatio?: number;
    /** Percentile whose ratio is estimated. Default 99. */
    readonly percentile?: number;
}

/** Recorded value of a ratio of 1; histograms hold whole numbers. */
const ratioScale = 1_000;
/** Larger ratios are recorded as this one. */
const largestRatio = 1_000;
/** Requests from which the initial ratio is replaced. */
const minimumRequests = 200;
/** Requests after which the ratio is computed anew. */
const recomputeInterval = 50;

const createHistogram = (): Histogram =>
    build({
        bitBucketSize: 32,
        lowestDiscernibleValue: 1,
        highestTrackableValue: ratioScale * largestRatio,
        numberOfSignificantValueDigits: 2,
    });

/** Creates an estimate over two windows; the older one is dropped when the newer one is full. */
export const createTailRatioEstimate = (
    { window = 1_500, initialRatio = 2.6, percentile = 99 }: TailRatioEstimateOptions = {},
): TailRatioEstimate => {
    let newer = createHistogram();
    let older: Histogram | undefined;
    let ratio = initialRatio;
    let recordedCount = 0;
    const recompute = (): void => {
        const all = createHistogram();
        all.add(newer);
        if (older !== undefined) {
            all.add(older);
        }
        if (all.totalCount >= minimumRequests) {
            ratio = all.getValueAtPercentile(percentile) / ratioScale;
        }
    };
    return {
        record: (latency, predictedMean) => {
            const value = Math.round(latency / Math.max(1e-3, predictedMean) * ratioScale);
            newer.recordValue(Math.min(ratioScale * largestRatio, Math.max(1, value)));
            recordedCount += 1;
            if (newer.totalCount >= window) {
                older = newer;
                newer = createHistogram();
            }
            if (recordedCount % recomputeInterval === 0) {
                recompute();
            }
        },
        value: () => ratio,
    };
};
