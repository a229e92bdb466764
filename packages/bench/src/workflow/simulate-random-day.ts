import type { ProtocolEvent } from "@jayfront/platform-stand-in";
import { findBreach, findLateStart } from "@jayfront/platform-stand-in";
import type { JobId } from "@jayfront/world";
import type { Logger } from "pino";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { FakeTime } from "../util/fake-time.js";
import type { FaultContext } from "./fault-context.js";
import type { PlantedFault } from "./planted-faults.js";
import { randomFaults } from "./random-faults.js";
import { createWorkflowCluster } from "./workflow-cluster.js";

/** Result of {@link simulateRandomDay}. */
export interface RandomDay {
    /** Everything that workers did, in order. */
    readonly events: readonly ProtocolEvent[];
    /** The first violation of the worker protocol; undefined if there was none. */
    readonly breach: string | undefined;
    /** The first start in a failure domain that was to be evacuated; undefined if there was none. */
    readonly lateStart: string | undefined;
    /** Number of accepted workflows. */
    readonly accepted: number;
    /** Accepted workflows that had not completed at the end, each with its state. */
    readonly unfinished: readonly string[];
    /** Workflows that ran although every answer to their submission was a refusal. */
    readonly ranThoughRefused: readonly string[];
    /** Injected faults, in order, with their time in ms from the first submission. */
    readonly faults: readonly string[];
}

/** Options of {@link simulateRandomDay}. */
export interface RandomDayOptions {
    readonly seed: number;
    readonly time: FakeTime;
    /** Seconds in which faults are injected; 25 s without faults follow. Default 20. */
    readonly seconds?: number;
    /** Logger of the hosts. Default: silent. */
    readonly logger?: Logger;
    /** Protocol fault of the hosts that the day should reveal. Default: none. */
    readonly plantedFault?: PlantedFault;
    /** Random faults to draw from, by name. Default: {@link randomFaults}. */
    readonly injectableFaults?: typeof randomFaults;
    /** See `WorkflowClusterOptions.evacuationTime`. */
    readonly evacuationTime?: number;
}

/** Milliseconds from the start of all hosts to the first submission. */
const warmUp = 3_000;
/** Milliseconds between two submissions. */
const submissionInterval = 400;
/** Milliseconds that a host has to answer the query of a workflow's state at the end. */
const stateTimeout = 50;
/** Milliseconds without new faults in which every accepted workflow has to complete. */
const recoveryTime = 25_000;

/** Simulates random submissions and faults on a cluster in fake time; the same seed gives the same events. */
export const simulateRandomDay = async (
    { seed, time, seconds = 20, logger, plantedFault, injectableFaults = randomFaults, evacuationTime }:
        RandomDayOptions,
): Promise<RandomDay> => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const pick = <Item>(items: readonly Item[]): Item | undefined => items[Math.floor(draw() * items.length)];
    const cluster = createWorkflowCluster({
        hosts: { "east-a": 2, "east-b": 2 },
        workers: { "east-a": 3, "east-b": 3 },
        cpuOf: () => 1_000,
        ...(logger === undefined ? {} : { logger }),
        ...(plantedFault === undefined ? {} : { plantedFault }),
        ...(evacuationTime === undefined ? {} : { evacuationTime }),
    });
    const runAfter = (milliseconds: number, action: () => void): void => {
        setTimeout(action, milliseconds);
    };
    const context: FaultContext = { cluster, draw, pick, runAfter };
    const faults: string[] = [];
    const outcomesById = new Map<string, string[]>();
    const submit = (): void => {
        const id = Math.floor(draw() * 2 ** 48).toString(16).padStart(16, "0");
        const host = pick([...cluster.hosts.keys()]);
        const steps = [{ count: 1 + Math.floor(draw() * 4) }, { count: 1 + Math.floor(draw() * 3), after: [0] }];
        const outcomes = outcomesById.get(id) ?? [];
        outcomesById.set(id, outcomes);
        if (host !== undefined) {
            outcomes.push("no answer");
            void cluster.submit(host, id, steps, { work: 200 + Math.floor(draw() * 2_500) }).then(({ kind }) => {
                outcomes[outcomes.length - 1] = kind;
            });
        }
    };
    await time.advance(warmUp);
    for (let passed = 0; passed < seconds * 1_000; passed += submissionInterval) {
        submit();
        if (draw() < 0.3) {
            const name = pick(Object.keys(injectableFaults)) ?? "";
            faults.push(`${String(passed)} ms: ${name}`);
            injectableFaults[name]?.(context);
        }
        await time.advance(submissionInterval);
    }
    await time.advance(recoveryTime);
    const { events } = cluster.platform.journal;
    const ran = new Set(events.filter(event => event.kind === "started").map(event => event.task.split(".")[0] ?? ""));
    const accepted = [...outcomesById].filter(([, outcomes]) => outcomes.includes("accepted")).map(([id]) => id);
    const unfinished: string[] = [];
    for (const id of accepted) {
        const query = [...cluster.hosts.values()][0]?.router.state(id as JobId);
        await time.advance(stateTimeout);
        // Without an answer, an `await` would never end, since nothing else advances the time.
        const state = await Promise.race([query, Promise.resolve(undefined)]);
        if (state?.kind !== "known" || state.value !== "completed") {
            unfinished.push(`${id}: ${state?.kind === "known" ? state.value : state?.kind ?? "no answer"}`);
        }
    }
    const refused = [...outcomesById].filter(([, outcomes]) => outcomes.every(outcome => outcome === "unavailable"))
        .map(([id]) => id);
    cluster.stop();
    return {
        events,
        breach: findBreach(events),
        lateStart: evacuationTime === undefined ? undefined : findLateStart(cluster.platform.journal, evacuationTime),
        accepted: accepted.length,
        unfinished,
        ranThoughRefused: refused.filter(id => ran.has(id)),
        faults,
    };
};
