import type { ProtocolEvent } from "@jayfront/platform-stand-in";
import type { Logger } from "pino";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { FakeTime } from "../util/fake-time.js";
import type { DayFindings } from "./check-submitted-workflows.js";
import { checkSubmittedWorkflows } from "./check-submitted-workflows.js";
import { createOverlapSafeCluster } from "./overlap-safe-cluster.js";
import type { PlantedFault } from "./planted-faults.js";
import { createRandomSubmitters } from "./random-submitters.js";
import type { SeveralCellsFaultContext } from "./several-cells-faults.js";
import { severalCellsFaults } from "./several-cells-faults.js";
import type { SubmittedWorkflow } from "./submitted-workflow.js";
import { createWorkflowCluster } from "./workflow-cluster.js";

/** Result of {@link simulateSeveralCellsDay}. */
export interface SeveralCellsDay extends DayFindings {
    readonly workflows: readonly SubmittedWorkflow[];
    /** Everything that workers did, in order. */
    readonly events: readonly ProtocolEvent[];
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
}

/** Milliseconds from the start of all hosts to the first submission. */
const warmUp = 4_000;
/** Milliseconds between two submissions. */
const submissionInterval = 400;
/** Probability that a fault is injected along with a submission. */
const faultProbability = 0.4;
/** Milliseconds without new faults in which every accepted workflow has to complete. */
const recoveryTime = 30_000;
/** Milliseconds within which all hosts answer the final state queries. */
const finalQueryTime = 4_000;
const hosts = { "east-a": 2, "east-b": 2, "east-c": 2 };
const workers = { "east-a": 3, "east-b": 3, "east-c": 3 };

/** Injects a fault drawn by weight; returns its name. */
const injectOne = (context: SeveralCellsFaultContext): string => {
    const total = severalCellsFaults.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = context.draw() * total;
    const drawnFault = severalCellsFaults.find(({ weight }) => {
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
    { seed, time, seconds = 20, logger, plantedFault }: SeveralCellsDayOptions,
): Promise<SeveralCellsDay> => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const cluster = createOverlapSafeCluster(createWorkflowCluster({
        hosts,
        workers,
        cpuOf: () => 1_000,
        largestCell: 0,
        ...(logger === undefined ? {} : { logger }),
        ...(plantedFault === undefined ? {} : { plantedFault }),
    }));
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
    const submitters = createRandomSubmitters(context, performance.now() + dayLength + recoveryTime);
    for (let passed = 0; passed < dayLength; passed += submissionInterval) {
        submitters.submit();
        if (draw() < faultProbability) {
            faults.push(`${String(Math.round(performance.now()))} ms: ${injectOne(context)}`);
        }
        await time.advance(submissionInterval);
    }
    submitters.cancelLongRunning();
    await time.advance(recoveryTime);
    const endedAt = performance.now();
    const finalQueries = submitters.queryAllHosts();
    await time.advance(finalQueryTime);
    await finalQueries;
    const { events } = cluster.platform.journal;
    const running = [...cluster.platform.workers.values()].flatMap(worker => worker.running());
    cluster.stop();
    const { workflows } = submitters;
    return { ...checkSubmittedWorkflows({ workflows, events, running, endedAt }), workflows, events, faults };
};
