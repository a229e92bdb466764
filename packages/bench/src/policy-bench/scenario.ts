/** Load and faults of one run. Functions of time take the seconds since the start of the run. */
export interface Scenario {
    readonly name: string;
    /** Share of all slots that requests would take if no batch tasks ran. */
    readonly load: (second: number) => number;
    /** Submitted batch work as a share of what the oracle completes under normal load. */
    readonly batchLoad: number;
    /** Factor on every service's latency, not caused by batch tasks. */
    readonly slowness?: (second: number) => number;
    /** Factor on the disturbance of every service by every batch class. */
    readonly disturbance?: (second: number) => number;
    /** Whether jobs declare, in turn, ten times and a tenth of their run time and memory. */
    readonly hasWrongDeclarations?: boolean;
    /** Number of workers that fail all tasks from the start. */
    readonly failingWorkerCount?: number;
    /** Second at which half of the unfinished jobs are cancelled. */
    readonly cancelJobsAt?: number;
    /** Second at which a third of the workers is lost. */
    readonly loseWorkersAt?: number;
    /** Lowest share of windows that have to be within the target. */
    readonly minWithinTarget: number;
}

const isBetween = (second: number, from: number, to: number): boolean => second >= from && second < to;

/** All scenarios, the normal day first. The names are printed, and given on the command line. */
export const scenarios: readonly Scenario[] = [
    { name: "normal day", load: () => 0.35, batchLoad: 0.7, minWithinTarget: 0.99 },
    {
        name: "morning peak",
        load: second => second < 50 ? 0.2 : Math.min(0.6, 0.2 + (second - 50) * 0.01),
        batchLoad: 1.3,
        minWithinTarget: 0.95,
    },
    {
        name: "noisy waves",
        load: () => 0.35,
        batchLoad: 1,
        slowness: second => isBetween(second % 60, 30, 45) ? 1.25 : 1,
        minWithinTarget: 0.95,
    },
    {
        name: "shifting pair",
        load: () => 0.35,
        batchLoad: 1,
        disturbance: second => second >= 90 ? 2.5 : 1,
        minWithinTarget: 0.95,
    },
    { name: "misdeclared", load: () => 0.35, batchLoad: 1, hasWrongDeclarations: true, minWithinTarget: 0.95 },
    { name: "failing workers", load: () => 0.35, batchLoad: 1, failingWorkerCount: 1, minWithinTarget: 0.95 },
    { name: "cancellations", load: () => 0.35, batchLoad: 1, cancelJobsAt: 80, minWithinTarget: 0.95 },
    {
        name: "over capacity",
        load: second => isBetween(second, 60, 120) ? 1.3 : 0.35,
        batchLoad: 1,
        minWithinTarget: 0.95,
    },
    { name: "lost domain", load: () => 0.35, batchLoad: 1, loseWorkersAt: 80, minWithinTarget: 0.95 },
];
