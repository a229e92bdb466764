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
import { quietPorts } from "../util/quiet-ports.js";
import { repositoryRoot } from "../util/repository-root.js";
import { waitUntil } from "../util/wait-until.js";
import type { LoopbackProxy } from "./loopback-proxy.js";
import { startLoopbackProxy } from "./loopback-proxy.js";
import { serveProtocolHandler } from "./serve-protocol-handler.js";

/** An entry host as a process of its own. */
export interface SoakHost {
    readonly id: string;
    /** `IP:port` for callers. */
    readonly address: string;
    /** Stands between the host and the store. */
    readonly storeProxy: LoopbackProxy;
    readonly isRunning: () => boolean;
    readonly start: () => void;
    readonly signal: (signal: NodeJS.Signals) => void;
}

/** Entry hosts as processes, on a stand-in of the platform that they reach through proxies. */
export interface SoakFleet {
    readonly platform: ProtocolPlatform;
    readonly hosts: readonly SoakHost[];
    /** Proxies of workers by the worker's id; all hosts reach a worker through the same one. */
    readonly workerProxies: ReadonlyMap<string, LoopbackProxy>;
    /** Processes that ended although nobody had told them to. */
    readonly unexpectedExits: readonly string[];
    /** Folder with the hosts' logs. */
    readonly logFolder: string;
    /** Ends all processes that were started here. */
    readonly close: () => Promise<void>;
}

/** Options of {@link startSoakFleet}. */
export interface SoakFleetOptions {
    /** Hosts and workers of each failure domain. */
    readonly hostsPerDomain: number;
    readonly workersPerDomain: number;
    /** Where logs stay after a run; default: a folder that is removed. */
    readonly keepLogsIn?: string;
}

const failureDomains = ["east-a", "east-b", "east-c"];
const longestLease = 6_000;
const startTimeout = 30_000;
const daemon = join(repositoryRoot, "platform/dist/src/main.js");

interface HostPorts {
    readonly callers: number;
    readonly ready: number;
    readonly peers: number;
    readonly metrics: number;
    readonly store: number;
}

const settingsOf = (id: string, failureDomain: string, ports: HostPorts): string =>
    [
        `nodeName = "${id}"`,
        'ipAddress = "127.0.0.1"',
        `zone = "${failureDomain}"`,
        `internalPortRange = [${String(ports.peers)}, ${String(ports.metrics)}]`,
        "[zones]",
        ...failureDomains.map(domain => `${domain} = "east"`),
        "[listenAddresses]",
        `frontend = "127.0.0.1:${String(ports.callers)}"`,
        `ready = "127.0.0.1:${String(ports.ready)}"`,
        "[bounds]",
        `maxHoldMs = ${String(longestLease)}`,
        "stopTimeoutMs = 200",
        "gangTimeoutMs = 3000",
        "status_s = 120",
        "gracePeriodS = 6",
        "[platform]",
        `address = "127.0.0.1:${String(ports.store)}"`,
    ].join("\n");

/** Starts the stand-in, the proxies and all hosts, and waits until every host is ready. */
export const startSoakFleet = async (
    { hostsPerDomain: hosts, workersPerDomain: workers, keepLogsIn }: SoakFleetOptions,
): Promise<SoakFleet> => {
    const folder = keepLogsIn ?? await mkdtemp(join(tmpdir(), "jayfront-soak-"));
    await mkdir(folder, { recursive: true });
    const servers: Server[] = [];
    const proxies: LoopbackProxy[] = [];
    const children = new Set<ChildProcess>();
    const failures: string[] = [];

    const proxyTo = async (port: number, target: number): Promise<LoopbackProxy> => {
        const proxy = await startLoopbackProxy({ port, targetPort: target });
        proxies.push(proxy);
        return proxy;
    };
    const workerIds = failureDomains.flatMap(domain =>
        Array.from({ length: workers }, (...[, number]) => `w-${domain}-${String(number)}`)
    );
    const doorPorts = await quietPorts(2 * workerIds.length + 1);
    const [storePort = 0] = doorPorts;
    const workerPorts = new Map(workerIds.map((id, index) => [id, {
        door: doorPorts[2 * index + 1] ?? 0,
        proxy: doorPorts[2 * index + 2] ?? 0,
    }]));
    const platform = createProtocolPlatform({
        workers: Object.fromEntries(failureDomains.map(domain => [domain, workers])),
        longestLease,
        cpuOf: () => 1_000,
        addressOf: id => `127.0.0.1:${String(workerPorts.get(id)?.proxy ?? 0)}`,
    });
    platform.configure(deskConfiguration);
    servers.push(await serveProtocolHandler(storePort, () => platform.store.handler));
    const workerProxies = new Map<string, LoopbackProxy>();
    for (const [id, ports] of workerPorts) {
        servers.push(await serveProtocolHandler(ports.door, () => platform.workers.get(id)?.handler));
        workerProxies.set(id, await proxyTo(ports.proxy, ports.door));
    }

    const createHost = async (id: string, failureDomain: string): Promise<SoakHost> => {
        const [callers = 0, ready = 0, peers = 0, metrics = 0, store = 0] = await quietPorts(5);
        const file = join(folder, `${id}.toml`);
        await writeFile(file, settingsOf(id, failureDomain, { callers, ready, peers, metrics, store }));
        const proxy = await proxyTo(store, storePort);
        let child: ChildProcess | undefined;
        let isTold = false;
        const start = (): void => {
            const started = spawn(process.execPath, [daemon], {
                env: { ...process.env, NODE_OPTIONS: "", JAYFRONT_BOOT: file },
                stdio: ["ignore", "pipe", "pipe"],
            });
            const log = createWriteStream(join(folder, `${id}.log`), { flags: "a" });
            started.stdout.pipe(log, { end: false });
            started.stderr.pipe(log, { end: false });
            children.add(started);
            child = started;
            isTold = false;
            started.once("exit", (code, signal) => {
                children.delete(started);
                if (child === started) {
                    child = undefined;
                }
                if (!isTold) {
                    failures.push(`${id} ended by itself (${String(code ?? signal)})`);
                }
            });
        };
        start();
        return {
            id,
            address: `127.0.0.1:${String(callers)}`,
            storeProxy: proxy,
            isRunning: () => child !== undefined,
            start: () => {
                if (child === undefined) {
                    start();
                }
            },
            signal: signal => {
                isTold ||= signal === "SIGTERM" || signal === "SIGKILL";
                child?.kill(signal);
            },
        };
    };
    const all: SoakHost[] = [];
    for (const domain of failureDomains) {
        for (let number = 0; number < hosts; number += 1) {
            all.push(await createHost(`h-${domain}-${String(number)}`, domain));
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
            await rm(folder, { recursive: true, force: true });
        }
    };
    await waitUntil("every entry host that serves", startTimeout, async () => {
        const answers = await Promise.all(
            all.map(host =>
                callJson({ address: host.address, method: "GET", path: "/urgent/", headers: { host: "desk.example" } })
            ),
        );
        return answers.every(({ status }) => status === 200);
    });
    return { platform, hosts: all, workerProxies, unexpectedExits: failures, logFolder: folder, close };
};
