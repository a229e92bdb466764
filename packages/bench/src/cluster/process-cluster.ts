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
    /** `IP:port` that serves callers and operators. */
    readonly address: string;
    readonly process: ChildProcess;
}

/** The parts of the stand-in's response to `GET /control/journal` that are read here. */
export interface JournalView {
    /** Number of entries by kind, or by `<kind>:<detail>`. */
    readonly counts: Readonly<Record<string, number>>;
    readonly table: { readonly transactions: number; readonly rowsWritten: number; readonly reads: number; };
    readonly breaches: readonly { readonly detail: string; readonly subject: string; readonly worker: string; }[];
    readonly tasks: readonly { readonly kind: string; readonly subject: string; readonly detail: string; }[];
}

/** The platform's stand-in and entry hosts as real processes on loopback. */
export interface ProcessCluster {
    readonly hosts: HostProcess[];
    /** Bearer token of operators' calls. */
    readonly token: string;
    /** `IP:port` of the stand-in. */
    readonly platformAddress: string;
    /** Reads the stand-in's journal. */
    readonly readJournal: () => Promise<JournalView>;
    /** Starts a further host; resolves before the host is ready. */
    readonly startHost: (id: string, failureDomain: string) => Promise<HostProcess>;
    /** Waits until all hosts are ready and hold `cells` cells with `workers` workers in all. */
    readonly waitForCells: (cells: number, workers: number) => Promise<void>;
    /** Kills all processes and removes their settings files and logs. */
    readonly close: () => Promise<void>;
}

/** Options of {@link startProcessCluster}. */
export interface ProcessClusterOptions {
    /** Settings file of the stand-in. */
    readonly platformFile: string;
    /** File of the environment document that is promoted at the start. */
    readonly environmentFile: string;
    readonly failureDomains: readonly string[];
    /** Number of entry hosts in each failure domain. Default 3. */
    readonly hostsPerDomain?: number;
    /** TOML text that is appended to the settings of every host. */
    readonly extraSettings?: string;
}

const token = "process-cluster-operator-token";
const peerKey = "process-cluster-peer-key-0123456789abcdef";
const startTimeoutMs = 20_000;

const readFirstLine = (child: ChildProcess): Promise<string> =>
    new Promise((resolve, reject) => {
        if (child.stdout === null) {
            reject(new Error("the process has no standard output; start it with a pipe"));
            return;
        }
        createInterface(child.stdout).once("line", resolve);
        child.once("exit", code => {
            reject(new Error(`the process exited with ${String(code)} before it printed its address`));
        });
    });

/** Starts the platform's stand-in and the entry hosts, and promotes the environment document. */
export const startProcessCluster = async (options: ProcessClusterOptions): Promise<ProcessCluster> => {
    const { platformFile, environmentFile, failureDomains, hostsPerDomain = 3, extraSettings = "" } = options;
    const settingsFolder = await mkdtemp(join(tmpdir(), "jayfront-"));
    const children: ChildProcess[] = [];
    const hosts: HostProcess[] = [];

    const standIn = spawn(process.execPath, [
        join(repositoryRoot, "packages/platform-stand-in/dist/src/main.js"),
        "--config",
        platformFile,
    ], { stdio: ["ignore", "pipe", "inherit"] });
    children.push(standIn);
    const { address: standInAddress } = JSON.parse(await readFirstLine(standIn)) as { address: string; };

    const startHost = async (id: string, failureDomain: string): Promise<HostProcess> => {
        const [port, peerPort] = await findFreePorts(2);
        const settingsFile = join(settingsFolder, `${id}.toml`);
        const hostAddress = `127.0.0.1:${String(port)}`;
        await writeFile(
            settingsFile,
            [
                "[host]",
                `id = "${id}"`,
                `failureDomain = "${failureDomain}"`,
                `address = "${hostAddress}"`,
                `peerAddress = "127.0.0.1:${String(peerPort)}"`,
                "[platform]",
                `address = "${standInAddress}"`,
                "[security]",
                `peerKey = "${peerKey}"`,
                `operatorTokens = ["${token}"]`,
                extraSettings,
            ].join("\n"),
        );
        const child = spawn(
            process.execPath,
            [join(repositoryRoot, "packages/jayfrontd/dist/src/main.js"), "--config", settingsFile],
            { stdio: ["ignore", "pipe", "inherit"] },
        );
        child.stdout.pipe(createWriteStream(join(settingsFolder, `${id}.log`)));
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
    const callOperatorApi = async (method: string, path: string, body?: unknown): Promise<unknown> => {
        const running = hosts.find(host => host.process.exitCode === null && host.process.signalCode === null);
        const response = await callJson({
            address: running?.address ?? "",
            method,
            path,
            body,
            headers: { authorization: `Bearer ${token}` },
        });
        if (response.status >= 300) {
            throw new Error(`${method} ${path} failed: ${JSON.stringify(response.value)}`);
        }
        return response.value;
    };
    await waitUntil("the first entry host to answer", startTimeoutMs, async () => {
        const health = await callJson({ address: hosts[0]?.address ?? "", method: "GET", path: "/healthz" });
        return health.status === 200;
    });
    const text = await readFile(environmentFile, "utf8");
    await callOperatorApi("PUT", "/operator/environments/trial", { text, base: 0 });
    await callOperatorApi("POST", "/operator/environments/production/promote", { from: "trial", base: 0 });

    return {
        hosts,
        token,
        platformAddress: standInAddress,
        startHost,
        readJournal: async () =>
            (await callJson({ address: standInAddress, method: "GET", path: "/control/journal" })).value as JournalView,
        waitForCells: (cells, workers) =>
            waitUntil("every cell to be held with all its workers", startTimeoutMs, async () => {
                const { hosts: statuses } = await callOperatorApi("GET", "/operator/hosts") as {
                    hosts: { isReady: boolean; cells: { role: string; workers: number; }[]; }[];
                };
                const heldCells = statuses.flatMap(status => status.cells).filter(cell => cell.role === "holder");
                const heldWorkers = heldCells.reduce((sum, cell) => sum + cell.workers, 0);
                return statuses.every(status => status.isReady) && heldCells.length === cells
                    && heldWorkers === workers;
            }),
        close: async () => {
            for (const child of children) {
                child.kill("SIGKILL");
            }
            await rm(settingsFolder, { recursive: true, force: true });
        },
    };
};
