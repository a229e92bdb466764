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
    /** Seconds of load, after those in which the lasting tasks start. */
    readonly seconds: number;
    readonly seed: number;
}

/** What a holder of one cell did under load, and the processor time that this took with its workers in one process. */
export interface HolderLoadResult {
    readonly starts: number;
    readonly ends: number;
    /** Seconds of processor time, the stand-in's included. */
    readonly processorTime: number;
}

interface WorkflowKind {
    readonly queue: Queue;
    readonly steps: number;
    readonly step: Partial<Step>;
    readonly images: number;
    /** Workflows a second for each worker. */
    readonly rate: number;
    /** Milliseconds of a task. */
    readonly work: number;
}

const warmUp = 15_000;
const second = 1_000;
const failureDomains = ["east-a", "east-b", "east-c"];
/** Lasting workflows for each worker. */
const lastingShare = 0.33;
const submissionPatience = 1_350;
const tailTarget = 120;

const queueOf = (name: string, priority: number): Queue => ({
    name,
    hostName: "desk.example",
    pathPrefix: `/${name}/`,
    service: "desk" as ServiceId,
    priority,
    maxAttempts: 3,
    slackFactor: 2,
    latencyTarget: 1_000,
});
const kinds: Readonly<Record<"urgent" | "batch" | "lasting", WorkflowKind>> = {
    urgent: {
        queue: queueOf("r-previews", 0),
        steps: 2,
        step: { count: 8, cpu: 4_000, memory: 4_000, expectedRunTime: 1_000 },
        images: 0,
        rate: 0.03,
        work: 1_000,
    },
    batch: {
        queue: queueOf("r-batch", 2),
        steps: 2,
        step: { count: 20, cpu: 3_500, memory: 3_000, expectedRunTime: 2_700, usesSpareCpu: true },
        images: 18,
        rate: 0.033,
        work: 2_700,
    },
    lasting: {
        queue: queueOf("r-serving", 0),
        steps: 1,
        step: { count: 14, cpu: 6_400, memory: 6_500, isLasting: true, tailTarget },
        images: 10,
        rate: 0,
        work: 0,
    },
};

/** Plays a holder of one cell under a load of urgent, batch and lasting work, in fake time. */
export const simulateHolderLoad = async ({ workers, seconds, seed }: HolderLoadOptions): Promise<HolderLoadResult> => {
    const time = installFakeTime();
    const random = xoroshiro128plus(seed);
    const withTails = (gateway: WorkerGateway): WorkerGateway => ({
        ...gateway,
        poll: async (worker, order) =>
            (await gateway.poll(worker, order)).map(report => ({
                ...report,
                running: report.running.map(row => ({
                    ...row,
                    measure: row.percent === 100 ? tailTarget * (0.2 + 0.4 * uniformFloat64(random)) : 1_000,
                })),
            })),
    });
    const cluster = createWorkflowCluster({
        hosts: { [failureDomains[0] ?? ""]: 1 },
        workers: Object.fromEntries(failureDomains.map(domain => [domain, Math.ceil(workers / failureDomains.length)])),
        cpu: 37_000,
        largestCell: Infinity,
        plantedFault: { gateway: withTails },
    });
    let submitted = 0;
    const submit = ({ queue, steps, step, images, work }: WorkflowKind): void => {
        submitted += 1;
        const image = images === 0 ? {} : { image: `${queue.name}-${String(submitted % images)}` };
        const chain = Array.from(
            { length: steps },
            (...[, number]) => createStep({ ...step, ...image, after: number === 0 ? [] : [number - 1] }),
        );
        void [...cluster.hosts.values()][0]?.router.submit({
            id: submitted.toString(16).padStart(16, "0") as JobId,
            queue,
            payload: JSON.stringify({ work, isLasting: step.isLasting === true }),
            steps: chain,
            acceptedAt: Date.now(),
        }, submissionPatience);
    };
    const countOf = (kind: string): number =>
        cluster.platform.journal.events.filter(event => event.kind === kind).length;
    await time.advance(warmUp / 2);
    for (let index = 0; index < workers * lastingShare; index += 1) {
        submit(kinds.lasting);
    }
    await time.advance(warmUp / 2);
    const before = { starts: countOf("started"), ends: countOf("ended"), processorTime: process.cpuUsage() };
    const step = 50;
    for (let passed = 0; passed < seconds * second; passed += step) {
        for (const kind of [kinds.urgent, kinds.batch]) {
            if (uniformFloat64(random) < kind.rate * workers * step / second) {
                submit(kind);
            }
        }
        await time.advance(step);
    }
    const { user, system } = process.cpuUsage(before.processorTime);
    const result = {
        starts: countOf("started") - before.starts,
        ends: countOf("ended") - before.ends,
        processorTime: (user + system) / 1_000_000,
    };
    cluster.stop();
    time.restore();
    return result;
};
