import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";

/** Ratio of a service's 99th percentile to its predicted mean, learned from single requests. */
export interface TailRatioEstimate {
    /** Learns one latency beside what the model predicted as mean. */
    readonly record: (latency: number, predictedMean: number) => void;
    readonly value: () => number;
}

/** Options of {@link createTailRatioEstimate}. */
export interface TailRatioEstimateOptions {
    /** Requests after which older ones are forgotten. Default 1,500. */
    readonly window?: number;
    /** Ratio before enough requests were seen. Default 2.6. */
    readonly initialRatio?: number;
    /** Percentile that counts as the tail. Default 99. */
    readonly percentile?: number;
}

/** Histograms count whole thousandths of the ratio. */
const unit = 1_000;
const largestRatio = 1_000;
const enoughRequests = 200;
const recomputeEvery = 50;

const createHistogram = (): Histogram =>
    build({
        bitBucketSize: 32,
        lowestDiscernibleValue: 1,
        highestTrackableValue: unit * largestRatio,
        numberOfSignificantValueDigits: 2,
    });

/** Creates an estimate over two windows, of which the older one is dropped when the newer is full. */
export const createTailRatioEstimate = (
    { window = 1_500, initialRatio = 2.6, percentile = 99 }: TailRatioEstimateOptions = {},
): TailRatioEstimate => {
    let newer = createHistogram();
    let older: Histogram | undefined;
    let ratio = initialRatio;
    let recorded = 0;
    const recompute = (): void => {
        const all = createHistogram();
        all.add(newer);
        if (older !== undefined) {
            all.add(older);
        }
        if (all.totalCount >= enoughRequests) {
            ratio = all.getValueAtPercentile(percentile) / unit;
        }
    };
    return {
        record: (latency, predictedMean) => {
            const value = Math.round(latency / Math.max(1e-3, predictedMean) * unit);
            newer.recordValue(Math.min(unit * largestRatio, Math.max(1, value)));
            recorded += 1;
            if (newer.totalCount >= window) {
                older = newer;
                newer = createHistogram();
            }
            if (recorded % recomputeEvery === 0) {
                recompute();
            }
        },
        value: () => ratio,
    };
};
