import type { ProtocolEvent } from "@jayfront/platform-stand-in";
import { findBreach } from "@jayfront/platform-stand-in";
import type { JobId } from "@jayfront/world";
import type { Logger } from "pino";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { FakeTime } from "../util/fake-time.js";
import type { FaultContext } from "./fault-context.js";
import type { PlantedFault } from "./planted-faults.js";
import { randomFaults } from "./random-faults.js";
import { createWorkflowCluster } from "./workflow-cluster.js";

/** What a random day showed. */
export interface RandomDay {
    /** All that workers did. */
    readonly events: readonly ProtocolEvent[];
    /** The first broken promise; undefined where all were kept. */
    readonly breach: string | undefined;
    /** Workflows that were accepted, and of these those that had not completed when the day ended. */
    readonly accepted: number;
    readonly unfinished: readonly string[];
    /** Workflows that ran although every answer to their submission said that they never would. */
    readonly ranThoughRefused: readonly string[];
    /** Faults that struck, in order. */
    readonly faults: readonly string[];
}

/** Options of {@link simulateRandomDay}. */
export interface RandomDayOptions {
    readonly seed: number;
    readonly time: FakeTime;
    /** Seconds of faults; as much again passes without. Default 20. */
    readonly seconds?: number;
    /** Where the hosts log. Default: nowhere. */
    readonly logger?: Logger;
    /** Fault of the hosts' contract that the day should show. Default: none. */
    readonly plantedFault?: PlantedFault;
    /** Faults that may strike, by name. Default: those of all random days. */
    readonly injectableFaults?: typeof randomFaults;
}

/** Milliseconds from the start of all hosts to the first submission. */
const warmUp = 3_000;
/** Milliseconds between two events of the day. */
const spacing = 400;
/** Milliseconds without faults in which all that was accepted has to complete. */
const calm = 25_000;

/** Plays a day of random faults and submissions in fake time; the same seed gives the same day. */
export const simulateRandomDay = async (
    { seed, time, seconds = 20, logger, plantedFault: fault, injectableFaults: strikes = randomFaults }:
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
        ...(fault === undefined ? {} : { plantedFault: fault }),
    });
    const later = (milliseconds: number, heal: () => void): void => {
        setTimeout(heal, milliseconds);
    };
    const play: FaultContext = { cluster, draw, pick, runAfter: later };
    const faults: string[] = [];
    const answers = new Map<string, string[]>();
    const submit = (): void => {
        const id = Math.floor(draw() * 2 ** 48).toString(16).padStart(16, "0");
        const host = pick([...cluster.hosts.keys()]);
        const steps = [{ count: 1 + Math.floor(draw() * 4) }, { count: 1 + Math.floor(draw() * 3), after: [0] }];
        const told = answers.get(id) ?? [];
        answers.set(id, told);
        if (host !== undefined) {
            told.push("no answer");
            void cluster.submit(host, id, steps, { work: 200 + Math.floor(draw() * 2_500) }).then(({ kind }) => {
                told[told.length - 1] = kind;
            });
        }
    };
    await time.advance(warmUp);
    for (let passed = 0; passed < seconds * 1_000; passed += spacing) {
        submit();
        if (draw() < 0.3) {
            const kind = pick(Object.keys(strikes)) ?? "";
            faults.push(`${String(passed)} ms: ${kind}`);
            strikes[kind]?.(play);
        }
        await time.advance(spacing);
    }
    await time.advance(calm);
    const { events } = cluster.platform.journal;
    const ran = new Set(events.filter(event => event.kind === "started").map(event => event.task.split(".")[0] ?? ""));
    const accepted = [...answers].filter(([, told]) => told.includes("accepted")).map(([id]) => id);
    const unfinished: string[] = [];
    for (const id of accepted) {
        const asked = [...cluster.hosts.values()][0]?.router.state(id as JobId);
        await time.advance(50);
        const state = await asked;
        if (state?.kind !== "known" || state.value !== "completed") {
            unfinished.push(`${id}: ${state?.kind === "known" ? state.value : String(state?.kind)}`);
        }
    }
    const refused = [...answers].filter(([, told]) => told.every(kind => kind === "unavailable")).map(([id]) => id);
    cluster.stop();
    return {
        events,
        breach: findBreach(events),
        accepted: accepted.length,
        unfinished,
        ranThoughRefused: refused.filter(id => ran.has(id)),
        faults,
    };
};
