import { join } from "node:path";

import type { Cluster, ClusterOptions } from "./cluster.js";
import { startCluster } from "./cluster.js";
import type { CaseRecord } from "./record.js";
import { openRecord } from "./record.js";

/** What a scenario works with. */
export interface CaseContext {
    readonly cluster: Cluster;
    readonly record: CaseRecord;
    /** Whether to bring about the disruption. */
    readonly hasTrouble: boolean;
}

/** Options of {@link runCase}. */
export interface CaseOptions {
    /** Folder of the case, from the root of the repository. */
    readonly folder: string;
    readonly cluster: Omit<ClusterOptions, "record">;
    /** Resolves to descriptions of how the rule was broken; empty if it held. */
    readonly play: (context: CaseContext) => Promise<readonly string[]>;
}

/** Milliseconds within which all hosts have to be ready. */
const readyTimeout = 30_000;
/** Milliseconds after which a case that still runs counts as one that couldn't run. */
const longestCase = 115_000;

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
export const runCase = async ({ folder, cluster: clusterOptions, play }: CaseOptions): Promise<void> => {
    const record = openRecord(join(folder, "record.txt"));
    const hasTrouble = process.env["TROUBLE"] !== "0";
    let code = 2;
    let cluster: Cluster | undefined;
    const giveUp = (reason: unknown): void => {
        record.add(`given up: ${String(reason)}`);
        console.log(reason);
        void Promise.resolve(cluster?.close()).finally(() => process.exit(2));
    };
    process.once("uncaughtException", giveUp);
    process.once("unhandledRejection", giveUp);
    const timer = setTimeout(giveUp, longestCase, "the case took too long");
    process.once("SIGINT", giveUp);
    process.once("SIGTERM", giveUp);
    try {
        cluster = await startCluster({ ...clusterOptions, record });
        if (await cluster.waitUntilReady(readyTimeout)) {
            const breaches = await play({ cluster, record, hasTrouble });
            breaches.forEach(breach => {
                record.add(`BROKEN ${breach}`);
            });
            breaches.slice(0, 5).forEach(breach => {
                console.log(breach);
            });
            code = breaches.length > 0 ? 1 : 0;
            const verdict = `${String(breaches.length)} breaches, trouble ${String(hasTrouble)}, exit code ${
                String(code)
            }`;
            record.add(verdict);
            console.log(verdict);
        }
        else {
            record.add("the hosts did not get ready");
        }
    }
    catch (error) {
        record.add(`error: ${String(error)}`);
        console.log(error);
    }
    finally {
        clearTimeout(timer);
        await cluster?.close();
        await record.close();
    }
    process.exit(code);
};
