import { runOnThreads } from "../util/run-on-threads.js";
import type { BenchResult, BenchRun } from "./bench-result.js";
import { contenders } from "./contender.js";
import { scenarios } from "./scenario.js";
import type { ScenarioFigures } from "./simulate-scenario.js";
import { simulateScenario } from "./simulate-scenario.js";
import { userWorkloads } from "./user-workload.js";

/** One scenario of one user with one seed, for all contenders. */
export interface BenchCase {
    readonly user: string;
    readonly scenario: string;
    readonly seed: number;
}

/** Figures of one cell by contender. */
export type CaseFigures = Readonly<Record<string, ScenarioFigures>>;

/** Plays one cell in this thread, for the contenders named. Default: all. */
export const simulateBenchCase = (
    { user, scenario, seed }: BenchCase,
    names: readonly string[] = Object.keys(contenders),
): CaseFigures => {
    const world = userWorkloads.find(candidate => candidate.name === user);
    const chosen = scenarios.find(candidate => candidate.name === scenario);
    if (world === undefined || chosen === undefined) {
        throw new Error(`no scenario "${scenario}" of user "${user}"; see scenario.ts and user-world.ts`);
    }
    return Object.fromEntries(
        Object.entries(contenders).filter(([name]) => names.includes(name)).map((
            [name, create],
        ) => [name, simulateScenario(world, chosen, create, seed)]),
    );
};

const relate = (cell: BenchCase, figures: CaseFigures, contender: string): BenchRun | undefined => {
    const own = figures[contender];
    const oracle = figures["oracle"];
    const split = figures["static split"];
    if (own === undefined || oracle === undefined || split === undefined) {
        return undefined;
    }
    const shared = oracle.onTimeJobs.filter(job => own.onTimeJobs.includes(job)).length;
    return {
        seed: cell.seed,
        figures: own,
        ofOracle: own.throughput / Math.max(1e-9, oracle.throughput),
        ofSplit: own.throughput / Math.max(1e-9, split.throughput),
        onTimeOfOracle: oracle.onTimeJobs.length === 0 ? 1 : shared / oracle.onTimeJobs.length,
    };
};

/** Options of {@link runBench}. */
export interface BenchOptions {
    readonly seeds: readonly number[];
    /** Only scenarios whose names hold this text. Default: all. */
    readonly only?: string;
    /** Default 5. */
    readonly threads?: number;
}

/** Plays every scenario of both users for all contenders and seeds. */
export const runBench = async ({ seeds, only = "", threads = 5 }: BenchOptions): Promise<readonly BenchResult[]> => {
    const chosen = scenarios.filter(scenario => scenario.name.includes(only));
    const cells = userWorkloads.flatMap(world =>
        chosen.flatMap(scenario => seeds.map(seed => ({ user: world.name, scenario: scenario.name, seed })))
    );
    const figures = await runOnThreads<BenchCase, CaseFigures>(cells, {
        module: new URL("./bench-thread.js", import.meta.url),
        threads,
    });
    return userWorkloads.flatMap(world =>
        chosen.flatMap(scenario =>
            Object.keys(contenders).map(contender => ({
                user: world.name,
                scenario: scenario.name,
                contender,
                runs: cells.flatMap((cell, position) => {
                    const isOwn = cell.user === world.name && cell.scenario === scenario.name;
                    const own = isOwn ? figures[position] : undefined;
                    return own === undefined ? [] : relate(cell, own, contender) ?? [];
                }),
            }))
        )
    );
};
