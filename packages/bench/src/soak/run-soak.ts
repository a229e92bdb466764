import { sleep } from "@jayfront/world";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { BrokenPromise } from "../workflow/check-submitted-workflows.js";
import { checkSubmittedWorkflows } from "../workflow/check-submitted-workflows.js";
import type { SoakFaultContext } from "./soak-faults.js";
import { soakFaults } from "./soak-faults.js";
import type { SoakFleetOptions } from "./soak-fleet.js";
import { startSoakFleet } from "./soak-fleet.js";
import { createSoakSubmitters } from "./soak-submitters.js";

/** What a soak showed. */
export interface SoakResult {
    readonly accepted: number;
    readonly broken: readonly BrokenPromise[];
    /** Processes that ended by themselves. */
    readonly unexpectedExits: readonly string[];
    /** Faults that struck, in order, with ms from the first submission. */
    readonly faults: readonly string[];
}

/** Options of {@link runSoak}. */
export interface SoakOptions extends SoakFleetOptions {
    readonly seed: number;
    /** Seconds of faults. */
    readonly seconds: number;
}

/** Milliseconds between two events. */
const spacing = 250;
/** Share of events in which a fault strikes; they last for seconds, so that some overlap. */
const faultShare = 0.2;
/** Milliseconds without faults in which all that was accepted has to complete. */
const calm = 25_000;

/** Plays real entry hosts under random faults from outside, the same ones for the same seed. */
export const runSoak = async ({ seed, seconds, ...options }: SoakOptions): Promise<SoakResult> => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    const fleet = await startSoakFleet(options);
    const startedAt = performance.now();
    const endsAt = startedAt + seconds * 1_000;
    const play: SoakFaultContext = {
        fleet,
        draw,
        pick: items => items[Math.floor(draw() * items.length)],
        runAfter: (milliseconds, action) => {
            setTimeout(action, Math.max(0, Math.min(milliseconds, endsAt - performance.now())));
        },
    };
    const faults: string[] = [];
    try {
        const callers = createSoakSubmitters(play);
        while (performance.now() < endsAt) {
            callers.submit();
            if (draw() < faultShare) {
                const [name, strike] = play.pick(Object.entries(soakFaults)) ?? [];
                faults.push(`${String(Math.round(performance.now() - startedAt))} ms: ${name ?? ""}`);
                strike?.(play);
            }
            await sleep(spacing);
        }
        // What was to heal later has healed by now; a host whose last start was skipped starts again.
        await sleep(spacing);
        fleet.hosts.forEach(host => {
            host.signal("SIGCONT");
            host.start();
        });
        await sleep(calm);
        const endedAt = performance.now();
        await callers.queryAllHosts();
        const { events } = fleet.platform.journal;
        const running = [...fleet.platform.workers.values()].flatMap(worker => worker.running());
        const { workflows } = callers;
        const { broken } = checkSubmittedWorkflows({ workflows, events, running, endedAt });
        const accepted = workflows.filter(({ acceptedAt }) => acceptedAt !== undefined).length;
        return { accepted, broken, unexpectedExits: fleet.unexpectedExits, faults };
    }
    finally {
        await fleet.close();
    }
};
