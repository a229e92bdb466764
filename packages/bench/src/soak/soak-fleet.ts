import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import type { Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

import type { ProtocolPlatform } from "@jayfront/platform-stand-in";
import { createProtocolPlatform, deskConfiguration } from "@jayfront/platform-stand-in";

import { callJson } from "../util/call-json.js";
import { findNonEphemeralPorts } from "../util/find-non-ephemeral-ports.js";
import { repositoryRoot } from "../util/repository-root.js";
import { waitUntil } from "../util/wait-until.js";
import type { LoopbackProxy } from "./loopback-proxy.js";
import { startLoopbackProxy } from "./loopback-proxy.js";
import { serveProtocolHandler } from "./serve-protocol-handler.js";

/** An entry host that runs as a process of its own. */
export interface SoakHost {
    readonly id: string;
    /** `IP:port` of the API for submitters. */
    readonly address: string;
    /** `IP:port` of the host's other servers. */
    readonly otherAddresses: { readonly ready: string; readonly peers: string; readonly metrics: string; };
    /** Process id; undefined if the process does not run. */
    readonly processId: () => number | undefined;
    /** Proxy between the host and the store. */
    readonly storeProxy: LoopbackProxy;
    readonly isRunning: () => boolean;
    /** Starts the process unless it runs. */
    readonly start: () => void;
    /** Sends a signal to the process if it runs. */
    readonly signal: (signal: NodeJS.Signals) => void;
}

/** Entry hosts as processes, which reach the platform stand-in through proxies. */
export interface SoakFleet {
    readonly platform: ProtocolPlatform;
    readonly hosts: readonly SoakHost[];
    /** Proxies by worker id; all hosts reach a worker through the same proxy. */
    readonly workerProxies: ReadonlyMap<string, LoopbackProxy>;
    /** Host processes that exited without SIGTERM or SIGKILL, with the exit code or signal. */
    readonly unexpectedExits: readonly string[];
    /** Folder of the hosts' settings and logs. */
    readonly logFolder: string;
    /** Kills all hosts, and closes the proxies and the stand-in. */
    readonly close: () => Promise<void>;
}

/** Options of {@link startSoakFleet}. */
export interface SoakFleetOptions {
    /** Hosts in each of the three failure domains. */
    readonly hostsPerDomain: number;
    /** Workers in each failure domain. */
    readonly workersPerDomain: number;
    /** Folder for settings and logs that is kept after the run. Default: a temporary folder that is removed. */
    readonly keepLogsIn?: string;
    /** Failure domains in use, at most three. Default: three. */
    readonly domains?: number;
    /** Lines of the table `[limits]` in the hosts' settings. */
    readonly limits?: readonly string[];
    /** Command-line options of Node.js. */
    readonly nodeOptions?: readonly string[];
}

/** Millicores of each task. */
export const soakTaskCpu = 1_000;
/** Tasks that a worker can run at the same time. */
const tasksPerWorker = 6;
/** Failure domains of the hosts and the workers. */
export const soakFailureDomains = ["east-a", "east-b", "east-c"];
/** Milliseconds. */
const longestLease = 6_000;
/** Milliseconds after an evacuation request in which the hosts may start tasks in its failure domain. */
export const soakEvacuationTime = 5_000;
/** Milliseconds within which all hosts have to serve requests. */
const startTimeout = 30_000;
const daemonPath = join(repositoryRoot, "platform/dist/src/main.js");

interface HostPorts {
    readonly frontend: number;
    readonly ready: number;
    readonly peers: number;
    readonly metrics: number;
    readonly store: number;
}

const settingsOf = (
    id: string,
    failureDomain: string,
    ports: HostPorts,
    failureDomains: readonly string[],
    limits: readonly string[],
): string =>
    [
        `nodeName = "${id}"`,
        'ipAddress = "127.0.0.1"',
        `zone = "${failureDomain}"`,
        `internalPortRange = [${String(ports.peers)}, ${String(ports.metrics)}]`,
        "[zones]",
        ...failureDomains.map(domain => `${domain} = "east"`),
        "[listenAddresses]",
        `frontend = "127.0.0.1:${String(ports.frontend)}"`,
        `ready = "127.0.0.1:${String(ports.ready)}"`,
        "[limits]",
        ...limits,
        "[bounds]",
        `maxHoldMs = ${String(longestLease)}`,
        "stopTimeoutMs = 200",
        "gangTimeoutMs = 3000",
        "status_s = 120",
        `evacuationMs = ${String(soakEvacuationTime)}`,
        "gracePeriodS = 6",
        "[platform]",
        `address = "127.0.0.1:${String(ports.store)}"`,
    ].join("\n");

/** Starts the stand-in, the proxies and all hosts, and waits until every host is ready. */
export const startSoakFleet = async (
    { hostsPerDomain, workersPerDomain, keepLogsIn, limits = [], nodeOptions = [], ...options }: SoakFleetOptions,
): Promise<SoakFleet> => {
    const failureDomains = soakFailureDomains.slice(0, options.domains);
    const logFolder = keepLogsIn ?? await mkdtemp(join(tmpdir(), "jayfront-soak-"));
    await mkdir(logFolder, { recursive: true });
    const servers: Server[] = [];
    const proxies: LoopbackProxy[] = [];
    const children = new Set<ChildProcess>();
    const unexpectedExits: string[] = [];

    const proxyTo = async (port: number, targetPort: number): Promise<LoopbackProxy> => {
        const proxy = await startLoopbackProxy({ port, targetPort });
        proxies.push(proxy);
        return proxy;
    };
    const workerIds = failureDomains.flatMap(domain =>
        Array.from({ length: workersPerDomain }, (...[, number]) => `w-${domain}-${String(number)}`)
    );
    const handlerPorts = await findNonEphemeralPorts(2 * workerIds.length + 1);
    const [storePort = 0] = handlerPorts;
    const workerPorts = new Map(workerIds.map((id, index) => [id, {
        handler: handlerPorts[2 * index + 1] ?? 0,
        proxy: handlerPorts[2 * index + 2] ?? 0,
    }]));
    const platform = createProtocolPlatform({
        workers: Object.fromEntries(failureDomains.map(domain => [domain, workersPerDomain])),
        longestLease,
        cpu: tasksPerWorker * soakTaskCpu,
        cpuOf: () => soakTaskCpu,
        addressOf: id => `127.0.0.1:${String(workerPorts.get(id)?.proxy ?? 0)}`,
    });
    platform.configure(deskConfiguration);
    servers.push(await serveProtocolHandler(storePort, () => platform.store.handler));
    const workerProxies = new Map<string, LoopbackProxy>();
    for (const [id, ports] of workerPorts) {
        servers.push(await serveProtocolHandler(ports.handler, () => platform.workers.get(id)?.handler));
        workerProxies.set(id, await proxyTo(ports.proxy, ports.handler));
    }

    const createHost = async (id: string, failureDomain: string): Promise<SoakHost> => {
        const [frontend = 0, ready = 0, peers = 0, metrics = 0, store = 0] = await findNonEphemeralPorts(5);
        const settingsFile = join(logFolder, `${id}.toml`);
        const ports = { frontend, ready, peers, metrics, store };
        await writeFile(settingsFile, settingsOf(id, failureDomain, ports, failureDomains, limits));
        const proxy = await proxyTo(store, storePort);
        let child: ChildProcess | undefined;
        let isExitExpected = false;
        const start = (): void => {
            const started = spawn(process.execPath, [...nodeOptions, daemonPath], {
                env: { ...process.env, NODE_OPTIONS: "", JAYFRONT_BOOT: settingsFile },
                stdio: ["ignore", "pipe", "pipe"],
            });
            const log = createWriteStream(join(logFolder, `${id}.log`), { flags: "a" });
            started.stdout.pipe(log, { end: false });
            started.stderr.pipe(log, { end: false });
            children.add(started);
            child = started;
            isExitExpected = false;
            started.once("exit", (code, signal) => {
                children.delete(started);
                if (child === started) {
                    child = undefined;
                }
                if (!isExitExpected) {
                    unexpectedExits.push(`${id} ended by itself (${String(code ?? signal)})`);
                }
            });
        };
        start();
        return {
            id,
            address: `127.0.0.1:${String(frontend)}`,
            otherAddresses: {
                ready: `127.0.0.1:${String(ready)}`,
                peers: `127.0.0.1:${String(peers)}`,
                metrics: `127.0.0.1:${String(metrics)}`,
            },
            processId: () => child?.pid,
            storeProxy: proxy,
            isRunning: () => child !== undefined,
            start: () => {
                if (child === undefined) {
                    start();
                }
            },
            signal: signal => {
                isExitExpected ||= signal === "SIGTERM" || signal === "SIGKILL";
                child?.kill(signal);
            },
        };
    };
    const hosts: SoakHost[] = [];
    for (const domain of failureDomains) {
        for (let number = 0; number < hostsPerDomain; number += 1) {
            hosts.push(await createHost(`h-${domain}-${String(number)}`, domain));
        }
    }
    const close = async (): Promise<void> => {
        const running = [...children];
        await Promise.all(running.map(child =>
            new Promise<void>(resolve => {
                child.removeAllListeners("exit");
                child.once("exit", () => {
                    resolve();
                });
                child.kill("SIGKILL");
            })
        ));
        proxies.forEach(proxy => {
            proxy.close();
        });
        servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
        platform.stop();
        if (keepLogsIn === undefined) {
            await rm(logFolder, { recursive: true, force: true });
        }
    };
    await waitUntil("every entry host serving requests", startTimeout, async () => {
        const answers = await Promise.all(
            hosts.map(host =>
                callJson({ address: host.address, method: "GET", path: "/urgent/", headers: { host: "desk.example" } })
            ),
        );
        return answers.every(({ status }) => status === 200);
    });
    return { platform, hosts, workerProxies, unexpectedExits, logFolder, close };
};
