import type { ScenarioFigures } from "./simulate-scenario.js";

/** Figures of one contender in one scenario over all seeds. */
export interface BenchResult {
    readonly user: string;
    readonly scenario: string;
    readonly contender: string;
    /** One run for each seed. */
    readonly runs: readonly BenchRun[];
}

/** Figures of one run, some of them relative to the oracle's and the static split's runs with the same seed. */
export interface BenchRun {
    readonly seed: number;
    readonly figures: ScenarioFigures;
    /** Throughput as a share of the oracle's. */
    readonly ofOracle: number;
    /** Throughput as a ratio to the static split's. */
    readonly ofSplit: number;
    /** Of the jobs that the oracle ended on time, the share that this contender also ended on time. */
    readonly onTimeOfOracle: number;
}

/** Median of `values` (the upper one of an even number); 0 if there are none. */
export const median = (values: readonly number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
};
