import { resolve } from "node:path";

import type { EntryHosts, HostsOptions } from "./hosts.js";
import { startHosts } from "./hosts.js";
import type { Platform, PlatformOptions } from "./platform.js";
import { startPlatform } from "./platform.js";
import type { Recorder } from "./recorder.js";
import { createRecorder } from "./recorder.js";
import type { Submitter } from "./submitter.js";
import { configurationOf, createSubmitter } from "./submitter.js";

/** What a case works with. */
export interface CaseContext extends EntryHosts {
    readonly recorder: Recorder;
    readonly platform: Platform;
    readonly submitter: Submitter;
    /** Whether the case is to cause its disruption. */
    readonly hasTrouble: boolean;
}

/** Options of {@link runCase}. */
export interface CaseOptions extends Omit<PlatformOptions, "recorder"> {
    /** Zones of the entry hosts. */
    readonly hostZones: HostsOptions["zones"];
    readonly maxAttempts?: number;
    /** Resolves to a description of how the rule was broken; undefined if it held. */
    readonly play: (context: CaseContext) => Promise<string | undefined>;
}

const exitCodes = { held: 0, broken: 1, notRun: 2 } as const;
/** Milliseconds after which a case ends in any case. */
const longestCase = 118_000;

const attempt = async (options: CaseOptions, recorder: Recorder): Promise<number> => {
    const { longestLease, stopTime, hostZones, maxAttempts, play } = options;
    const hasTrouble = process.env["TROUBLE"] !== "0";
    recorder.add("case", "begins", { hasTrouble });
    const platform = await startPlatform({ ...options, recorder });
    platform.store.put("op", "config", configurationOf(maxAttempts));
    let entryHosts: EntryHosts | undefined;
    try {
        entryHosts = await startHosts({
            zones: hostZones,
            storeAddress: platform.storeAddress,
            longestLease,
            stopTime,
        });
        recorder.add("case", "all hosts serve", {});
        const submitter = createSubmitter(entryHosts.hosts, recorder);
        const breach = await play({ ...entryHosts, recorder, platform, submitter, hasTrouble });
        const verdict = breach === undefined ? "the rule held" : `the rule was broken: ${breach}`;
        recorder.add("case", verdict);
        console.log(verdict);
        return breach === undefined ? exitCodes.held : exitCodes.broken;
    }
    finally {
        await entryHosts?.close();
        await platform.close();
    }
};

/** Runs a case, writes its record and ends the process with its result. */
export const runCase = async (options: CaseOptions): Promise<void> => {
    const recorder = createRecorder();
    const timeLimit = new Promise<number>((...[, reject]) => {
        setTimeout(reject, longestCase, new Error("the case takes too long"));
    });
    let code: number = exitCodes.notRun;
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
        process.once(signal, () => {
            process.exit(code);
        });
    }
    // An error in a stand-in says nothing of the rule.
    process.once("uncaughtException", error => {
        console.error(error);
        process.exit(exitCodes.notRun);
    });
    try {
        code = await Promise.race([attempt(options, recorder), timeLimit]);
    }
    catch (error) {
        recorder.add("case", "could not run", { error: String(error) });
        console.error(error);
    }
    recorder.save(resolve(process.env["REVIEW_RECORD"] ?? "record.txt"));
    process.exit(code);
};
