import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import type { Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

import type { ProtocolStore } from "../../packages/platform-stand-in/src/protocol/protocol-store.js";
import { createProtocolStore } from "../../packages/platform-stand-in/src/protocol/protocol-store.js";
import { callHost } from "./client.js";
import { findAddresses } from "./find-addresses.js";
import type { CaseRecord } from "./record.js";
import type { Answer, Call } from "./serve.js";
import { serve } from "./serve.js";
import type { Worker, WorkerEvent } from "./worker.js";
import { createWorker } from "./worker.js";

/** How the store treats calls: it serves them, answers 503, or does not answer. */
export type StoreMode = "up" | "busy" | "silent";

/** An entry host that runs as a process of its own, by the command of the deploy file. */
export interface Host {
    readonly id: string;
    /** Address for clients. */
    readonly address: string;
    readonly isRunning: () => boolean;
    readonly start: () => void;
    readonly signal: (signal: NodeJS.Signals) => void;
    /** How each process of the host ended that nobody killed or terminated. */
    readonly ownEnds: readonly string[];
}

/** Hosts, workers and the store of a small deployment. */
export interface Cluster {
    readonly hosts: readonly Host[];
    readonly workers: ReadonlyMap<string, Worker>;
    /** Ends a worker's process: its address refuses connections until it is restarted. */
    readonly crashWorker: (id: string) => void;
    /** Starts a worker again under its id and at its address. */
    readonly restartWorker: (id: string) => void;
    readonly events: WorkerEvent[];
    readonly store: ProtocolStore;
    readonly setStoreMode: (mode: StoreMode) => void;
    /** Resolves once all hosts report to be ready. */
    readonly waitUntilReady: (timeout: number) => Promise<boolean>;
    readonly close: () => Promise<void>;
}

/** Options of {@link startCluster}. */
export interface ClusterOptions {
    readonly record: CaseRecord;
    readonly hosts: number;
    readonly workers: number;
    /** Millicores and megabytes of a worker. */
    readonly capacity: { readonly cpu: number; readonly memory: number; };
    readonly requestOf: (task: string) => { readonly cpu: number; readonly memory: number; };
    /** Sees each call to a worker before the worker does; an answer that it returns is given in place of the worker's. */
    readonly interceptCall?: (worker: Worker, call: Call) => Answer | undefined;
    readonly labelsOf?: (worker: number) => readonly string[];
    readonly maxAttempts?: number;
}

const zones = ["worcester-a", "portland-a", "quincy-b"];
const longestLease = 10_000;
const stopTime = 900;
const heartbeatInterval = 1_100;
/** Bytes of a call that the store accepts: 1 MB. */
const longestCall = 1_048_576;
const ports = { frontend: 8161, ready: 8167, firstInternal: 7720, lastInternal: 7735, metrics: 9464, service: 8169 };

const settingsOf = (id: string, zone: string, ip: string, platform: string): string =>
    [
        `nodeName = "${id}"`,
        'role = "entry"',
        'machineClass = "frontend"',
        'serves = ["frontend"]',
        `ipAddress = "${ip}"`,
        `zone = "${zone}"`,
        'region = "mass-east"',
        `internalPortRange = [${String(ports.firstInternal)}, ${String(ports.lastInternal)}]`,
        "bootstrap = true",
        'discovery = "platform"',
        `heartbeatIntervalMs = ${String(heartbeatInterval)}`,
        'orders = "call"',
        "[zones]",
        ...zones.map(name => `${name} = "mass-east"`),
        "[listenAddresses]",
        `frontend = "${ip}:${String(ports.frontend)}"`,
        `ready = "${ip}:${String(ports.ready)}"`,
        "[limits]",
        "cpuShare = 0.675",
        "cpuCores = 1",
        "memoryMb = 350",
        "[bounds]",
        "contactMs = 4000",
        `maxHoldMs = ${String(longestLease)}`,
        `stopTimeoutMs = ${String(stopTime)}`,
        "gangTimeoutMs = 3000",
        "status_s = 120",
        "gracePeriodS = 6",
        "remotePenalty = 2",
        "checkpointIntervalS = 2",
        "restoreMs = 600",
        "harmMs = 4000",
        "[platform]",
        `address = "${platform}"`,
        'form = "table"',
        "",
    ].join("\n");
const configurationOf = (maxAttempts: number): object => ({
    version: 3,
    routes: [{
        name: "r-desk",
        host: "desk.example",
        pathPrefix: "/desk/",
        service: "engrave-desk",
        priority: 0,
        maxAttempts,
        slackFactor: 2,
        targetLatencyMs: 1_000,
    }],
    services: [{ name: "engrave-desk", admissionCheck: true }],
    limits: { bodyBytes: 262_144 },
});
/** The words of the command that the deploy file starts the daemon with. */
const daemonCommand = (): readonly string[] => {
    const run = /^run = "(.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1];
    if (run === undefined) {
        throw new Error("deploy/system.toml has no command");
    }
    return run.split(" ");
};

/** Starts the store, the workers and the hosts. */
export const startCluster = async (options: ClusterOptions): Promise<Cluster> => {
    const { record, capacity, requestOf, labelsOf, maxAttempts = 3 } = options;
    const servers: Server[] = [];
    const children = new Set<ChildProcess>();
    const events: WorkerEvent[] = [];
    const workers = new Map<string, Worker>();
    const store = createProtocolStore();
    let storeMode: StoreMode = "up";
    let isClosing = false;
    const addresses = await findAddresses(
        1 + options.workers + options.hosts,
        Object.values(ports),
    );
    const platformAddress = `${addresses[0] ?? ""}:${String(ports.service)}`;
    servers.push(
        await serve(platformAddress, call => {
            if (storeMode === "up" && call.bytes > longestCall) {
                record.add(`store refused a call of ${String(call.bytes)} bytes`);
                return { status: 400 };
            }
            if (storeMode === "up") {
                return store.handler(call);
            }
            return storeMode === "busy" ? { status: 503 } : "silent";
        }),
    );
    store.put("op", "config", configurationOf(maxAttempts));
    const registrations: NodeJS.Timeout[] = [];
    const workerProcesses = new Map<string, { readonly crash: () => void; readonly restart: () => void; }>();
    for (let index = 0; index < options.workers; index += 1) {
        const id = `i-${String(index).padStart(4, "0")}`;
        const address = `${addresses[1 + index] ?? ""}:${String(ports.service)}`;
        const worker = createWorker({ id, record, events, capacity, requestOf, longestLease, stopTime });
        workers.set(id, worker);
        const server = await serve(address, call => options.interceptCall?.(worker, call) ?? worker.handle(call));
        servers.push(server);
        let sequence = 0;
        const register = (): void => {
            sequence += 1;
            if (storeMode === "up" && worker.isUp()) {
                store.put("servers", id, {
                    service: "engrave-desk",
                    address,
                    zone: zones[index % zones.length],
                    version: "1",
                    slots: 8,
                    state: "ready",
                    coldRemainingMs: 0,
                    sequence,
                    born: worker.bornAt(),
                    capacity: { cpu: capacity.cpu, memoryRequestMb: capacity.memory, gpu: 0 },
                    labels: labelsOf?.(index) ?? ["a", `r-${String(index % zones.length)}`],
                });
            }
        };
        register();
        registrations.push(setInterval(register, heartbeatInterval));
        workerProcesses.set(id, {
            crash: () => {
                worker.crash();
                server.close();
                server.closeAllConnections();
            },
            restart: () => {
                const [ip = "", port = ""] = address.split(":");
                server.listen(Number(port), ip, () => {
                    worker.restart();
                    sequence = 0;
                    register();
                });
            },
        });
    }
    const folder = await mkdtemp(join(tmpdir(), "jayfront-review-"));
    const [program = "", ...words] = daemonCommand();
    const createHost = async (index: number): Promise<Host> => {
        const id = `frontend-${String(index)}`;
        const ip = addresses[1 + options.workers + index] ?? "";
        const zone = zones[index % zones.length] ?? "";
        const settings = join(folder, `${id}.toml`);
        await writeFile(settings, settingsOf(id, zone, ip, platformAddress));
        const ownEnds: string[] = [];
        let child: ChildProcess | undefined;
        let isEndExpected = false;
        const start = (): void => {
            if (child !== undefined || isClosing) {
                return;
            }
            const started = spawn(program, words, {
                env: { PATH: process.env["PATH"], HOME: process.env["HOME"], JAYFRONT_BOOT: settings },
                stdio: ["ignore", "pipe", "pipe"],
            });
            record.add(`${id} process started`);
            const log = createWriteStream(join(folder, `${id}.log`), { flags: "a" });
            started.stdout.pipe(log, { end: false });
            started.stderr.pipe(log, { end: false });
            children.add(started);
            child = started;
            isEndExpected = false;
            started.once("exit", (code, signal) => {
                children.delete(started);
                child = undefined;
                record.add(`${id} process ended (${String(code ?? signal)})`);
                if (!isEndExpected && !isClosing) {
                    ownEnds.push(String(code ?? signal));
                }
            });
        };
        start();
        return {
            id,
            address: `${ip}:${String(ports.frontend)}`,
            isRunning: () => child !== undefined,
            start,
            signal: signal => {
                record.add(`${id} gets ${signal}`);
                isEndExpected ||= signal === "SIGTERM" || signal === "SIGKILL";
                child?.kill(signal);
            },
            ownEnds,
        };
    };
    const hosts: Host[] = [];
    for (let index = 0; index < options.hosts; index += 1) {
        hosts.push(await createHost(index));
    }
    record.add(`logs of the hosts: ${folder}, kept with KEEP_LOGS=1`);
    const isReady = async ({ address }: Host): Promise<boolean> => {
        const [ip = ""] = address.split(":");
        const answer = await callHost(`${ip}:${String(ports.ready)}`, "GET", "/api/readiness", undefined, 1_000);
        return answer?.status === 200;
    };
    return {
        hosts,
        workers,
        crashWorker: id => {
            workerProcesses.get(id)?.crash();
        },
        restartWorker: id => {
            workerProcesses.get(id)?.restart();
        },
        events,
        store,
        setStoreMode: mode => {
            record.add(`store is ${mode}`);
            storeMode = mode;
        },
        waitUntilReady: async timeout => {
            const deadline = performance.now() + timeout;
            while (performance.now() < deadline) {
                const ready = await Promise.all(hosts.map(isReady));
                if (ready.every(value => value)) {
                    return true;
                }
                await new Promise(resolve => setTimeout(resolve, 200));
            }
            return false;
        },
        close: async () => {
            isClosing = true;
            registrations.forEach(clearInterval);
            await Promise.all([...children].map(child =>
                new Promise<void>(resolve => {
                    child.once("exit", () => {
                        resolve();
                    });
                    child.kill("SIGKILL");
                })
            ));
            servers.forEach(server => {
                server.close();
                server.closeAllConnections();
            });
            if (process.env["KEEP_LOGS"] !== "1") {
                await rm(folder, { recursive: true, force: true });
            }
        },
    };
};
