import { isDeadlineCall } from "@jayfront/platform-stand-in";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster, WorkflowClusterOptions } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Id of the workflow that {@link startLongRunningJob} submits. */
export const job = "00000000000000a1";
/** Millicores of one of its tasks; a worker has room for four. */
const cpu = 4_000;
/** Milliseconds until the cell has a holder that knows its workers. */
const warmUp = 3_000;

/** A cluster in fake time, all of whose tasks are those of one long-running workflow. */
export interface LongRunningJob {
    readonly time: FakeTime;
    readonly cluster: WorkflowCluster;
}

/** Options of {@link startLongRunningJob}. */
export interface LongRunningJobOptions extends Partial<WorkflowClusterOptions> {
    readonly tasks: number;
    /** Milliseconds from the submission of the workflow until the returned promise resolves. */
    readonly runFor: number;
}

/** Starts a cluster of one cell, by default with 3 hosts and 6 workers, that runs a long-running workflow. */
export const startLongRunningJob = async (
    { tasks, runFor, ...options }: LongRunningJobOptions,
): Promise<LongRunningJob> => {
    const time = installFakeTime();
    const cluster = createWorkflowCluster({
        hosts: { "east-a": 3 },
        workers: { "east-a": 6 },
        longestLease: 10_000,
        cpuOf: () => cpu,
        ...options,
    });
    await time.advance(warmUp);
    void cluster.submit(cluster.holder() ?? "", job, [{ count: tasks, cpu, isLasting: true }], { isLasting: true });
    await time.advance(runFor);
    return { time, cluster };
};

/** Deadlines of one worker that arrive late. */
export interface LateDeadlines {
    readonly heal: () => void;
    /** Number of deadlines so far. */
    readonly granted: () => number;
}

/** Where the tasks of the workflow run, and faults of the workers' connections. */
export interface JobObserver {
    /** The tasks that run on a worker. */
    readonly runningOf: (worker: string) => readonly string[];
    /** The tasks that run, each as often as it does. */
    readonly running: () => readonly string[];
    readonly workersOfTasks: () => readonly string[];
    /** Cuts a worker off from all hosts; the returned function undoes that. */
    readonly cutOff: (worker: string) => () => void;
    /** Lets the deadlines of a worker arrive `delay` ms late. */
    readonly delayDeadlines: (worker: string, delay: number) => LateDeadlines;
}

/** Observes the workflow of {@link startLongRunningJob} on the cluster that `clusterOf` returns at the time of each call. */
export const observeJob = (clusterOf: () => WorkflowCluster): JobObserver => {
    const workers = (): readonly string[] => [...clusterOf().platform.workers.keys()];
    const runningOf = (worker: string): readonly string[] =>
        clusterOf().platform.workers.get(worker)?.running().filter(task => task.startsWith(job)) ?? [];
    return {
        runningOf,
        running: () => workers().flatMap(runningOf),
        workersOfTasks: () => workers().filter(worker => runningOf(worker).length > 0),
        cutOff: worker => {
            const { network, addressOf } = clusterOf().platform;
            return network.addFault({ matches: (...[, call]) => call.address === addressOf(worker), action: "cut" });
        },
        delayDeadlines: (worker, delay) => {
            const { network, addressOf } = clusterOf().platform;
            let granted = 0;
            const heal = network.addFault({
                matches: (...[, call]) => {
                    const isGrant = call.address === addressOf(worker) && isDeadlineCall(call);
                    granted += isGrant ? 1 : 0;
                    return isGrant;
                },
                action: "late-grant",
                delay,
            });
            return { heal, granted: () => granted };
        },
    };
};
