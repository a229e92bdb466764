import type { ScenarioFigures } from "./simulate-scenario.js";

/** Figures of one contender in one scenario over all seeds. */
export interface BenchResult {
    readonly user: string;
    readonly scenario: string;
    readonly contender: string;
    /** Figures by seed. */
    readonly runs: readonly BenchRun[];
}

/** Figures of one run, with those that are relative to the oracle's run of the same seed. */
export interface BenchRun {
    readonly seed: number;
    readonly figures: ScenarioFigures;
    /** Throughput over the oracle's. */
    readonly ofOracle: number;
    /** Throughput over the static split's. */
    readonly ofSplit: number;
    /** Share of the jobs that the oracle ended on time that this contender did too. */
    readonly onTimeOfOracle: number;
}

/** Median of `values`; 0 for none. */
export const median = (values: readonly number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
};
