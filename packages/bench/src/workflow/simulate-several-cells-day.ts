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

/** What a random day with several cells showed. */
export interface SeveralCellsDay extends DayFindings {
    readonly workflows: readonly SubmittedWorkflow[];
    /** All that workers did. */
    readonly events: readonly ProtocolEvent[];
    /** Faults that struck, in order. */
    readonly faults: readonly string[];
}

/** Options of {@link simulateSeveralCellsDay}. */
export interface SeveralCellsDayOptions {
    readonly seed: number;
    readonly time: FakeTime;
    /** Seconds of faults. Default 20. */
    readonly seconds?: number;
    /** Where the hosts log. Default: nowhere. */
    readonly logger?: Logger;
    /** Fault of the hosts' contract that the day should show. Default: none. */
    readonly plantedFault?: PlantedFault;
}

/** Milliseconds from the start of all hosts to the first submission. */
const warmUp = 4_000;
/** Milliseconds between two events of the day. */
const spacing = 400;
/** Share of events in which a fault strikes. */
const faultShare = 0.4;
/** Milliseconds without faults in which all that was accepted has to complete. */
const calm = 30_000;
/** Milliseconds in which all hosts answer at the end of the day. */
const lastAnswers = 4_000;
const hosts = { "east-a": 2, "east-b": 2, "east-c": 2 };
const workers = { "east-a": 3, "east-b": 3, "east-c": 3 };

const strikeOne = (play: SeveralCellsFaultContext): string => {
    const total = severalCellsFaults.reduce((sum, { weight }) => sum + weight, 0);
    let drawn = play.draw() * total;
    const struck = severalCellsFaults.find(({ weight }) => {
        drawn -= weight;
        return drawn < 0;
    });
    struck?.strike(play);
    return struck?.name ?? "";
};

/**
 * Plays a day of random faults on three cells in fake time, with submitters who repeat, ask and cancel; the same seed
 * gives the same day.
 */
export const simulateSeveralCellsDay = async (
    { seed, time, seconds = 20, logger, plantedFault: fault }: SeveralCellsDayOptions,
): Promise<SeveralCellsDay> => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const cluster = createOverlapSafeCluster(createWorkflowCluster({
        hosts,
        workers,
        cpuOf: () => 1_000,
        largestCell: 0,
        ...(logger === undefined ? {} : { logger }),
        ...(fault === undefined ? {} : { plantedFault: fault }),
    }));
    const play: SeveralCellsFaultContext = {
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
    const submitters = createRandomSubmitters(play, performance.now() + dayLength + calm);
    for (let passed = 0; passed < dayLength; passed += spacing) {
        submitters.submit();
        if (draw() < faultShare) {
            faults.push(`${String(Math.round(performance.now()))} ms: ${strikeOne(play)}`);
        }
        await time.advance(spacing);
    }
    submitters.cancelLongRunning();
    await time.advance(calm);
    const endedAt = performance.now();
    const asked = submitters.queryAllHosts();
    await time.advance(lastAnswers);
    await asked;
    const { events } = cluster.platform.journal;
    const running = [...cluster.platform.workers.values()].flatMap(worker => worker.running());
    cluster.stop();
    const { workflows } = submitters;
    return { ...checkSubmittedWorkflows({ workflows, events, running, endedAt }), workflows, events, faults };
};
