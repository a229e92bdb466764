import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";

import { callJson } from "../util/call-json.js";
import { findFreePorts } from "../util/find-free-ports.js";
import { repositoryRoot } from "../util/repository-root.js";
import { waitUntil } from "../util/wait-until.js";

/** A jayfrontd process of a cluster. */
export interface HostProcess {
    readonly id: string;
    /** `IP:port` for callers and operators. */
    readonly address: string;
    readonly process: ChildProcess;
}

/** What the stand-in's control door shows. */
export interface JournalView {
    readonly counts: Readonly<Record<string, number>>;
    readonly table: { readonly transactions: number; readonly rowsWritten: number; readonly reads: number; };
    readonly breaches: readonly { readonly detail: string; readonly subject: string; readonly worker: string; }[];
    readonly tasks: readonly { readonly kind: string; readonly subject: string; readonly detail: string; }[];
}

/** A stand-in and entry hosts as real processes on loopback. */
export interface ProcessCluster {
    readonly hosts: HostProcess[];
    readonly token: string;
    /** `IP:port` of the stand-in. */
    readonly platformAddress: string;
    readonly readJournal: () => Promise<JournalView>;
    readonly startHost: (id: string, failureDomain: string) => Promise<HostProcess>;
    /** Waits until all running hosts are ready and every cell is held with all its workers. */
    readonly waitForCells: (cells: number, workers: number) => Promise<void>;
    /** Ends all processes by their ids. */
    readonly close: () => Promise<void>;
}

/** Options of {@link startProcessCluster}. */
export interface ProcessClusterOptions {
    /** Settings file of the stand-in. */
    readonly platformFile: string;
    /** Environment document that is put in force. */
    readonly environmentFile: string;
    readonly failureDomains: readonly string[];
    /** Entry hosts of each failure domain. Default 3. */
    readonly hostsPerDomain?: number;
    /** Lines added to the settings of every host. */
    readonly extraSettings?: string;
}

const token = "process-cluster-operator-token";
const peerKey = "process-cluster-peer-key-0123456789abcdef";
const startTimeout = 20_000;

const firstLine = (child: ChildProcess): Promise<string> =>
    new Promise((done, fail) => {
        if (child.stdout === null) {
            fail(new Error("the process has no output"));
            return;
        }
        createInterface(child.stdout).once("line", done);
        child.once("exit", code => {
            fail(new Error(`the process ended with ${String(code)} before it said its address`));
        });
    });

/** Starts the platform's stand-in and all entry hosts of an example, and puts its environment document in force. */
export const startProcessCluster = async (options: ProcessClusterOptions): Promise<ProcessCluster> => {
    const { platformFile, environmentFile, failureDomains, hostsPerDomain = 3, extraSettings = "" } = options;
    const folder = await mkdtemp(join(tmpdir(), "jayfront-"));
    const children: ChildProcess[] = [];
    const hosts: HostProcess[] = [];

    const platform = spawn(process.execPath, [
        join(repositoryRoot, "packages/platform-stand-in/dist/src/main.js"),
        "--config",
        platformFile,
    ], { stdio: ["ignore", "pipe", "inherit"] });
    children.push(platform);
    const { address } = JSON.parse(await firstLine(platform)) as { address: string; };

    const startHost = async (id: string, failureDomain: string): Promise<HostProcess> => {
        const [port, peerPort] = await findFreePorts(2);
        const file = join(folder, `${id}.toml`);
        const hostAddress = `127.0.0.1:${String(port)}`;
        await writeFile(
            file,
            [
                "[host]",
                `id = "${id}"`,
                `failureDomain = "${failureDomain}"`,
                `address = "${hostAddress}"`,
                `peerAddress = "127.0.0.1:${String(peerPort)}"`,
                "[platform]",
                `address = "${address}"`,
                "[security]",
                `peerKey = "${peerKey}"`,
                `operatorTokens = ["${token}"]`,
                extraSettings,
            ].join("\n"),
        );
        const child = spawn(
            process.execPath,
            [join(repositoryRoot, "packages/jayfrontd/dist/src/main.js"), "--config", file],
            { stdio: ["ignore", "pipe", "inherit"] },
        );
        child.stdout.pipe(createWriteStream(join(folder, `${id}.log`)));
        children.push(child);
        const host: HostProcess = { id, address: hostAddress, process: child };
        hosts.push(host);
        return host;
    };
    for (const failureDomain of failureDomains) {
        for (let number = 1; number <= hostsPerDomain; number += 1) {
            await startHost(`${failureDomain}-${String(number)}`, failureDomain);
        }
    }
    const call = async (method: string, path: string, body?: unknown): Promise<unknown> => {
        const running = hosts.find(host => host.process.exitCode === null && host.process.signalCode === null);
        const answer = await callJson({
            address: running?.address ?? "",
            method,
            path,
            body,
            headers: { authorization: `Bearer ${token}` },
        });
        if (answer.status >= 300) {
            throw new Error(`${method} ${path}: ${JSON.stringify(answer.value)}`);
        }
        return answer.value;
    };
    await waitUntil("the first entry host", startTimeout, async () => {
        const health = await callJson({ address: hosts[0]?.address ?? "", method: "GET", path: "/healthz" });
        return health.status === 200;
    });
    const text = await readFile(environmentFile, "utf8");
    await call("PUT", "/operator/environments/trial", { text, base: 0 });
    await call("POST", "/operator/environments/production/promote", { from: "trial", base: 0 });

    return {
        hosts,
        token,
        platformAddress: address,
        startHost,
        readJournal: async () =>
            (await callJson({ address, method: "GET", path: "/control/journal" })).value as JournalView,
        waitForCells: (cells, workers) =>
            waitUntil("every cell with its workers", startTimeout, async () => {
                const { hosts: statuses } = await call("GET", "/operator/hosts") as {
                    hosts: { isReady: boolean; cells: { role: string; workers: number; }[]; }[];
                };
                const held = statuses.flatMap(status => status.cells).filter(cell => cell.role === "holder");
                const adopted = held.reduce((sum, cell) => sum + cell.workers, 0);
                return statuses.every(status => status.isReady) && held.length === cells && adopted === workers;
            }),
        close: async () => {
            for (const child of children) {
                child.kill("SIGKILL");
            }
            await rm(folder, { recursive: true, force: true });
        },
    };
};
