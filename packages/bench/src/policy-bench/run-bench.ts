import { runOnThreads } from "../util/run-on-threads.js";
import type { BenchResult, BenchRun } from "./bench-result.js";
import { contenders } from "./contender.js";
import { scenarios } from "./scenario.js";
import type { ScenarioFigures } from "./simulate-scenario.js";
import { simulateScenario } from "./simulate-scenario.js";
import { userWorkloads } from "./user-workload.js";

/** One scenario of one user with one seed, simulated for all contenders. */
export interface BenchCase {
    readonly user: string;
    readonly scenario: string;
    readonly seed: number;
}

/** Figures of one case by contender. */
export type CaseFigures = Readonly<Record<string, ScenarioFigures>>;

/**
 * Simulates one case in this thread.
 * @param contenderNames Names of the contenders. Default: all.
 */
export const simulateBenchCase = (
    { user, scenario, seed }: BenchCase,
    contenderNames: readonly string[] = Object.keys(contenders),
): CaseFigures => {
    const workload = userWorkloads.find(candidate => candidate.name === user);
    const chosenScenario = scenarios.find(candidate => candidate.name === scenario);
    if (workload === undefined || chosenScenario === undefined) {
        throw new Error(`unknown scenario "${scenario}" or user "${user}"; see scenario.ts and user-workload.ts`);
    }
    return Object.fromEntries(
        Object.entries(contenders).filter(([name]) => contenderNames.includes(name)).map((
            [name, createContender],
        ) => [name, simulateScenario(workload, chosenScenario, createContender, seed)]),
    );
};

/** Relates a contender's figures to those of the oracle and the static split; undefined if one of them is missing. */
const createBenchRun = (benchCase: BenchCase, figures: CaseFigures, contender: string): BenchRun | undefined => {
    const ownFigures = figures[contender];
    const oracle = figures["oracle"];
    const staticSplit = figures["static split"];
    if (ownFigures === undefined || oracle === undefined || staticSplit === undefined) {
        return undefined;
    }
    const onTimeInBoth = oracle.onTimeJobs.filter(job => ownFigures.onTimeJobs.includes(job)).length;
    return {
        seed: benchCase.seed,
        figures: ownFigures,
        ofOracle: ownFigures.throughput / Math.max(1e-9, oracle.throughput),
        ofSplit: ownFigures.throughput / Math.max(1e-9, staticSplit.throughput),
        onTimeOfOracle: oracle.onTimeJobs.length === 0 ? 1 : onTimeInBoth / oracle.onTimeJobs.length,
    };
};

/** Options of {@link runBench}. */
export interface BenchOptions {
    readonly seeds: readonly number[];
    /** Only scenarios whose names contain this text. Default: all. */
    readonly only?: string;
    /** Number of worker threads. Default 5. */
    readonly threads?: number;
}

/** Simulates every scenario of both users for all contenders and seeds, on worker threads. */
export const runBench = async ({ seeds, only = "", threads = 5 }: BenchOptions): Promise<readonly BenchResult[]> => {
    const chosenScenarios = scenarios.filter(scenario => scenario.name.includes(only));
    const cases = userWorkloads.flatMap(workload =>
        chosenScenarios.flatMap(scenario => seeds.map(seed => ({ user: workload.name, scenario: scenario.name, seed })))
    );
    const figures = await runOnThreads<BenchCase, CaseFigures>(cases, {
        module: new URL("./bench-thread.js", import.meta.url),
        threads,
    });
    return userWorkloads.flatMap(workload =>
        chosenScenarios.flatMap(scenario =>
            Object.keys(contenders).map(contender => ({
                user: workload.name,
                scenario: scenario.name,
                contender,
                runs: cases.flatMap((benchCase, position) => {
                    const isOwnCase = benchCase.user === workload.name && benchCase.scenario === scenario.name;
                    const ownFigures = isOwnCase ? figures[position] : undefined;
                    return ownFigures === undefined ? [] : createBenchRun(benchCase, ownFigures, contender) ?? [];
                }),
            }))
        )
    );
};
