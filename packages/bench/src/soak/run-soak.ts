import { findLateStart } from "@jayfront/platform-stand-in";
import { sleep } from "@jayfront/world";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { BrokenPromise } from "../workflow/check-submitted-workflows.js";
import { checkSubmittedWorkflows } from "../workflow/check-submitted-workflows.js";
import { createServiceObserver } from "../workflow/service-observer.js";
import type { SoakFaultContext } from "./soak-faults.js";
import { soakFaults } from "./soak-faults.js";
import type { SoakFleetOptions } from "./soak-fleet.js";
import { soakEvacuationTime, soakFailureDomains, soakTaskCpu, startSoakFleet } from "./soak-fleet.js";
import { createSoakSubmitters } from "./soak-submitters.js";

/** Result of {@link runSoak}. */
export interface SoakResult {
    /** Number of accepted workflows. */
    readonly accepted: number;
    readonly broken: readonly BrokenPromise[];
    /** Host processes that exited without having been told to, with the exit code or signal. */
    readonly unexpectedExits: readonly string[];
    /** Injected faults, in order, with their time in ms from the first submission. */
    readonly faults: readonly string[];
}

/** Options of {@link runSoak}. */
export interface SoakOptions extends SoakFleetOptions {
    readonly seed: number;
    /** Seconds in which faults are injected. */
    readonly seconds: number;
}

/** Milliseconds between two submissions. */
const submissionInterval = 250;
/** Probability that a fault is injected along with a submission. Faults last for seconds, so that some overlap. */
const faultProbability = 0.2;
/** Probability that the operator evacuates a failure domain along with a submission, and for how many milliseconds at most. */
const evacuationProbability = 0.01;
const longestEvacuation = 10_000;
/** Milliseconds without faults in which every accepted workflow has to complete. */
const recoveryTime = 25_000;

/** Runs real entry hosts as processes under random external faults, drawn from the seed. */
export const runSoak = async ({ seed, seconds, ...options }: SoakOptions): Promise<SoakResult> => {
    const random = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(random);
    // Drawn apart, so that the other faults of a seed stay as they are.
    const evacuationRandom = xoroshiro128plus(seed + 1);
    const drawEvacuation = (): number => uniformFloat64(evacuationRandom);
    const fleet = await startSoakFleet(options);
    const startedAt = performance.now();
    const endsAt = startedAt + seconds * 1_000;
    const context: SoakFaultContext = {
        fleet,
        draw,
        pick: items => items[Math.floor(draw() * items.length)],
        runAfter: (milliseconds, action) => {
            setTimeout(action, Math.max(0, Math.min(milliseconds, endsAt - performance.now())));
        },
    };
    const observer = createServiceObserver({ platform: fleet.platform, taskCpu: soakTaskCpu });
    /** Injects a fault; the service counts as disturbed until all actions that the fault has scheduled have run. */
    const injectRecorded = (inject: (faultContext: SoakFaultContext) => void): void => {
        const end = observer.beginDisturbance();
        let pending = 1;
        const finishOne = (): void => {
            pending -= 1;
            if (pending === 0) {
                end();
            }
        };
        inject({
            ...context,
            runAfter: (milliseconds, action) => {
                pending += 1;
                context.runAfter(milliseconds, () => {
                    action();
                    finishOne();
                });
            },
        });
        finishOne();
    };
    const faults: string[] = [];
    try {
        const submitters = createSoakSubmitters(context);
        while (performance.now() < endsAt) {
            submitters.submit();
            if (draw() < faultProbability) {
                const [name, inject] = context.pick(Object.entries(soakFaults)) ?? [];
                faults.push(`${String(Math.round(performance.now() - startedAt))} ms: ${name ?? ""}`);
                if (inject !== undefined) {
                    injectRecorded(inject);
                }
            }
            if (drawEvacuation() < evacuationProbability) {
                const domain = soakFailureDomains[Math.floor(drawEvacuation() * soakFailureDomains.length)] ?? "";
                faults.push(`${String(Math.round(performance.now() - startedAt))} ms: evacuate ${domain}`);
                injectRecorded(({ runAfter }) => {
                    runAfter(drawEvacuation() * longestEvacuation, fleet.platform.evacuate(domain));
                });
            }
            await sleep(submissionInterval);
        }
        // All scheduled heals have run by now. Starts hosts whose last start was skipped because the old process had
        // not exited yet.
        await sleep(submissionInterval);
        injectRecorded(() => {
            fleet.hosts.forEach(host => {
                host.signal("SIGCONT");
                host.start();
            });
        });
        await sleep(recoveryTime);
        const endedAt = performance.now();
        await submitters.queryAllHosts();
        const { events } = fleet.platform.journal;
        const running = [...fleet.platform.workers.values()].flatMap(worker => worker.running());
        const { workflows } = submitters;
        const lateStart = findLateStart(fleet.platform.journal, soakEvacuationTime);
        const lateStarts = lateStart === undefined
            ? []
            : [{ promise: "starts nothing where evacuated", detail: lateStart }];
        const { broken } = checkSubmittedWorkflows({ workflows, events, running, endedAt, service: observer.history });
        const accepted = workflows.filter(({ acceptedAt }) => acceptedAt !== undefined).length;
        return { accepted, broken: [...broken, ...lateStarts], unexpectedExits: fleet.unexpectedExits, faults };
    }
    finally {
        observer.stop();
        await fleet.close();
    }
};
