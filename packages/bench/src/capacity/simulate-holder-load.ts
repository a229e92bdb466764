import type { Queue, Step, WorkerGateway } from "@jayfront/workflow";
import { createStep } from "@jayfront/workflow";
import type { JobId, ServiceId } from "@jayfront/world";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { installFakeTime } from "../util/fake-time.js";
import { createWorkflowCluster } from "../workflow/workflow-cluster.js";

/** Options of {@link simulateHolderLoad}. */
export interface HolderLoadOptions {
    readonly workers: number;
    /** Seconds of measured load, after the long-running tasks have started. */
    readonly seconds: number;
    readonly seed: number;
}

/** Starts and ends of tasks under the measured load, and the processor time of the holder and its workers together. */
export interface HolderLoadResult {
    readonly starts: number;
    readonly ends: number;
    /** Seconds of processor time, including the stand-in's. */
    readonly processorTime: number;
}

interface WorkflowKind {
    readonly queue: Queue;
    /** Number of steps, one after the other. */
    readonly steps: number;
    readonly step: Partial<Step>;
    /** Number of different images; 0 for none. */
    readonly images: number;
    /** Workflows submitted per second and worker. */
    readonly rate: number;
    /** Milliseconds that a task runs. */
    readonly work: number;
}

const warmUpMs = 15_000;
const msPerSecond = 1_000;
const failureDomains = ["east-a", "east-b", "east-c"];
/** Long-running workflows per worker. */
const longRunningPerWorker = 0.33;
const submissionTimeoutMs = 1_350;
const tailTargetMs = 120;

const createQueue = (name: string, priority: number): Queue => ({
    name,
    hostName: "desk.example",
    pathPrefix: `/${name}/`,
    service: "desk" as ServiceId,
    priority,
    maxAttempts: 3,
    slackFactor: 2,
    latencyTarget: 1_000,
});
const workflowKinds: Readonly<Record<"urgent" | "batch" | "longRunning", WorkflowKind>> = {
    urgent: {
        queue: createQueue("r-previews", 0),
        steps: 2,
        step: { count: 8, cpu: 4_000, memory: 4_000, expectedRunTime: 1_000 },
        images: 0,
        rate: 0.03,
        work: 1_000,
    },
    batch: {
        queue: createQueue("r-batch", 2),
        steps: 2,
        step: { count: 20, cpu: 3_500, memory: 3_000, expectedRunTime: 2_700, usesSpareCpu: true },
        images: 18,
        rate: 0.033,
        work: 2_700,
    },
    longRunning: {
        queue: createQueue("r-serving", 0),
        steps: 1,
        step: { count: 14, cpu: 6_400, memory: 6_500, isLasting: true, tailTarget: tailTargetMs },
        images: 10,
        rate: 0,
        work: 0,
    },
};

/** Simulates the holder of one cell under a load of urgent, batch and long-running tasks, in fake time. */
export const simulateHolderLoad = async ({ workers, seconds, seed }: HolderLoadOptions): Promise<HolderLoadResult> => {
    const time = installFakeTime();
    const random = xoroshiro128plus(seed);
    const addTailLatencies = (gateway: WorkerGateway): WorkerGateway => ({
        ...gateway,
        poll: async (worker, order) =>
            (await gateway.poll(worker, order)).map(report => ({
                ...report,
                running: report.running.map(row => ({
                    ...row,
                    measure: row.percent === 100 ? tailTargetMs * (0.2 + 0.4 * uniformFloat64(random)) : 1_000,
                })),
            })),
    });
    const cluster = createWorkflowCluster({
        hosts: { [failureDomains[0] ?? ""]: 1 },
        workers: Object.fromEntries(failureDomains.map(domain => [domain, Math.ceil(workers / failureDomains.length)])),
        cpu: 37_000,
        largestCell: Infinity,
        plantedFault: { gateway: addTailLatencies },
    });
    let submitted = 0;
    const submit = ({ queue, steps, step: stepOptions, images, work }: WorkflowKind): void => {
        submitted += 1;
        const imageOption = images === 0 ? {} : { image: `${queue.name}-${String(submitted % images)}` };
        const stepChain = Array.from(
            { length: steps },
            (...[, index]) => createStep({ ...stepOptions, ...imageOption, after: index === 0 ? [] : [index - 1] }),
        );
        void [...cluster.hosts.values()][0]?.router.submit({
            id: submitted.toString(16).padStart(16, "0") as JobId,
            queue,
            payload: JSON.stringify({ work, isLasting: stepOptions.isLasting === true }),
            steps: stepChain,
            acceptedAt: Date.now(),
        }, submissionTimeoutMs);
    };
    const countEvents = (kind: string): number =>
        cluster.platform.journal.events.filter(event => event.kind === kind).length;
    await time.advance(warmUpMs / 2);
    for (let index = 0; index < workers * longRunningPerWorker; index += 1) {
        submit(workflowKinds.longRunning);
    }
    await time.advance(warmUpMs / 2);
    const initial = { starts: countEvents("started"), ends: countEvents("ended"), processorTime: process.cpuUsage() };
    const timeStepMs = 50;
    for (let elapsed = 0; elapsed < seconds * msPerSecond; elapsed += timeStepMs) {
        for (const kind of [workflowKinds.urgent, workflowKinds.batch]) {
            if (uniformFloat64(random) < kind.rate * workers * timeStepMs / msPerSecond) {
                submit(kind);
            }
        }
        await time.advance(timeStepMs);
    }
    const { user, system } = process.cpuUsage(initial.processorTime);
    const result = {
        starts: countEvents("started") - initial.starts,
        ends: countEvents("ended") - initial.ends,
        processorTime: (user + system) / 1_000_000,
    };
    cluster.stop();
    time.restore();
    return result;
};
