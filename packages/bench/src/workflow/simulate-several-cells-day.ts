import type { ProtocolEvent } from "@jayfront/platform-stand-in";
import type { Logger } from "pino";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { FakeTime } from "../util/fake-time.js";
import type { DayFindings } from "./check-submitted-workflows.js";
import { checkSubmittedWorkflows } from "./check-submitted-workflows.js";
import { createDisturbanceRecordingCluster } from "./disturbance-recording-cluster.js";
import { createOverlapSafeCluster } from "./overlap-safe-cluster.js";
import type { PlantedFault } from "./planted-faults.js";
import { createRandomSubmitters } from "./random-submitters.js";
import type { ServiceHistory } from "./service-history.js";
import { createServiceObserver } from "./service-observer.js";
import type { SeveralCellsFaultContext, WeightedFault } from "./several-cells-faults.js";
import type { SeveralCellsProfile } from "./several-cells-profile.js";
import { shortLivedProfile } from "./several-cells-profile.js";
import type { SubmittedWorkflow } from "./submitted-workflow.js";
import { createWorkflowCluster } from "./workflow-cluster.js";

/** Result of {@link simulateSeveralCellsDay}. */
export interface SeveralCellsDay extends DayFindings {
    readonly workflows: readonly SubmittedWorkflow[];
    /** Everything that workers did, in order. */
    readonly events: readonly ProtocolEvent[];
    /** Free capacity and disturbances. */
    readonly service: ServiceHistory;
    /** Injected faults, in order, with their monotonic time in ms. */
    readonly faults: readonly string[];
}

/** Options of {@link simulateSeveralCellsDay}. */
export interface SeveralCellsDayOptions {
    readonly seed: number;
    readonly time: FakeTime;
    /** Seconds in which faults are injected. Default 20. */
    readonly seconds?: number;
    /** Logger of the hosts. Default: silent. */
    readonly logger?: Logger;
    /** Protocol fault of the hosts that the day should reveal. Default: none. */
    readonly plantedFault?: PlantedFault;
    /** The workers, the load and the faults of the day. Default: short-lived work in cells with ample room. */
    readonly profile?: SeveralCellsProfile;
}

/** Milliseconds from the start of all hosts to the first submission. */
const warmUp = 4_000;
/** Milliseconds between two submissions. */
const submissionInterval = 400;
/** Milliseconds without new faults in which every accepted workflow has to complete. */
const recoveryTime = 30_000;
/** Milliseconds within which all hosts answer the final state queries. */
const finalQueryTime = 4_000;
const hosts = { "east-a": 2, "east-b": 2, "east-c": 2 };
/** Millicores of each task. */
const taskCpu = 1_000;

/** Injects a fault drawn by weight; returns its name. */
const injectOne = (faults: readonly WeightedFault[], context: SeveralCellsFaultContext): string => {
    const total = faults.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = context.draw() * total;
    const drawnFault = faults.find(({ weight }) => {
        remaining -= weight;
        return remaining < 0;
    });
    drawnFault?.inject(context);
    return drawnFault?.name ?? "";
};

/**
 * Simulates random faults on three cells in fake time, with submitters that retry, query states and cancel; the same
 * seed gives the same events.
 */
export const simulateSeveralCellsDay = async (
    { seed, time, seconds = 20, logger, plantedFault, profile = shortLivedProfile }: SeveralCellsDayOptions,
): Promise<SeveralCellsDay> => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const hostCluster = createOverlapSafeCluster(createWorkflowCluster({
        hosts,
        workers: Object.fromEntries(Object.keys(hosts).map(domain => [domain, profile.workersPerDomain])),
        cpu: profile.tasksPerWorker * taskCpu,
        cpuOf: () => taskCpu,
        largestCell: 0,
        ...(logger === undefined ? {} : { logger }),
        ...(plantedFault === undefined ? {} : { plantedFault }),
    }));
    const observer = createServiceObserver({ platform: hostCluster.platform, taskCpu });
    const cluster = createDisturbanceRecordingCluster(hostCluster, observer);
    const context: SeveralCellsFaultContext = {
        cluster,
        draw,
        pick: items => items[Math.floor(draw() * items.length)],
        runAfter: (milliseconds, action) => {
            setTimeout(action, milliseconds);
        },
    };
    const faults: string[] = [];
    await time.advance(warmUp);
    const dayLength = seconds * 1_000;
    const places = Object.keys(hosts).length * profile.workersPerDomain * profile.tasksPerWorker;
    const submitters = createRandomSubmitters(
        context,
        performance.now() + dayLength + profile.quietTime + recoveryTime,
        profile.mix,
    );
    for (let passed = 0; passed < dayLength; passed += submissionInterval) {
        if (profile.submissionProbability === 1 || draw() < profile.submissionProbability) {
            submitters.submit();
        }
        while (submitters.longRunningTasks() < profile.longRunningLoad * places) {
            submitters.submit("long-running");
        }
        if (passed >= profile.fillTime && draw() < profile.faultProbability) {
            faults.push(`${String(Math.round(performance.now()))} ms: ${injectOne(profile.faults, context)}`);
        }
        await time.advance(submissionInterval);
    }
    await time.advance(profile.quietTime);
    submitters.cancelLongRunning();
    await time.advance(recoveryTime);
    const endedAt = performance.now();
    const finalQueries = submitters.queryAllHosts();
    await time.advance(finalQueryTime);
    await finalQueries;
    const { events } = cluster.platform.journal;
    const running = [...cluster.platform.workers.values()].flatMap(worker => worker.running());
    observer.stop();
    cluster.stop();
    const { workflows } = submitters;
    const findings = checkSubmittedWorkflows({ workflows, events, running, endedAt, service: observer.history });
    return { ...findings, workflows, events, service: observer.history, faults };
};
