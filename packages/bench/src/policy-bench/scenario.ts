/** What happens to the world during one run. */
export interface Scenario {
    readonly name: string;
    /** Share of all slots that requests would take without batch tasks, by second. */
    readonly load: (second: number) => number;
    /** Offered batch work as a share of what an oracle can do in a normal hour. */
    readonly batchLoad: number;
    /** Factor on every service's latency that no pair explains, by second. */
    readonly slowness?: (second: number) => number;
    /** Factor on every hidden disturbance, by second. */
    readonly disturbance?: (second: number) => number;
    /** Factors on declared run time and memory, drawn by job. */
    readonly hasWrongDeclarations?: boolean;
    /** Workers that fail everything from the start. */
    readonly failingWorkerCount?: number;
    /** Second at which half of the unfinished jobs are cancelled. */
    readonly cancelJobsAt?: number;
    /** Second at which a third of the workers is lost. */
    readonly loseWorkersAt?: number;
    /** Share of windows that must be within target. */
    readonly minWithinTarget: number;
}

const between = (second: number, from: number, to: number): boolean => second >= from && second < to;

/** All scenarios, the normal day first. */
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
        slowness: second => between(second % 60, 30, 45) ? 1.25 : 1,
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
        load: second => between(second, 60, 120) ? 1.3 : 0.35,
        batchLoad: 1,
        minWithinTarget: 0.95,
    },
    { name: "lost domain", load: () => 0.35, batchLoad: 1, loseWorkersAt: 80, minWithinTarget: 0.95 },
];
