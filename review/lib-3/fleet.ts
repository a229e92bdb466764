import type { ProtocolPlatform } from "@jayfront/platform-stand-in";
import { createProtocolPlatform } from "@jayfront/platform-stand-in";
import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import type { Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { callJson } from "../../packages/bench/src/util/call-json.js";
import { findNonEphemeralPorts } from "../../packages/bench/src/util/find-non-ephemeral-ports.js";
import { serveHandler } from "./serve-handler.js";

/** An entry host: a process that is started again when it ends, as the platform does. */
export interface Host {
    readonly id: string;
    /** `IP:port` for callers. */
    readonly address: string;
    /** Number of times that its process ended although nothing had told it to. */
    readonly ownExits: () => number;
    readonly signal: (name: NodeJS.Signals) => void;
}

/** Entry hosts, the stand-in of the platform, and a record of what happened. */
export interface Fleet {
    readonly platform: ProtocolPlatform;
    readonly hosts: readonly Host[];
    /** Adds a line to the record. */
    readonly note: (text: string) => void;
    /** Ends a worker's process; its port is closed, and it is back under its id after `downTime` milliseconds. */
    readonly crashWorker: (worker: string, downTime: number) => void;
    /** Ends all processes and returns the record. */
    readonly close: () => Promise<string>;
}

/** Options of {@link startFleet}. */
export interface FleetOptions {
    readonly hostsPerZone: number;
    readonly workersPerZone: number;
    /** Tasks that a worker runs at the same time. */
    readonly tasksPerWorker: number;
    /** Millicores of a task; default {@link taskCpu}. */
    readonly cpuOf?: (task: string) => number;
}

/** Answer to a call of a client; status 0 if there was none. */
export interface Answer {
    readonly status: number;
    readonly state: string | undefined;
}

/** Millicores of each task. */
export const taskCpu = 1_000;
/** Milliseconds that a client waits for an answer. */
export const clientDeadline = 3_000;
const zones = ["worcester-a", "quincy-b", "portland-a"];
/** Milliseconds after which the platform starts a process again that has ended. */
const restartDelay = 500;
/** Milliseconds within which all hosts have to answer. */
const startTimeout = 25_000;
const longestLease = 10_000;

/** A queue for small jobs and one for scheduled ones. */
const configuration = {
    version: 1,
    routes: ["orders", "sync"].map((name, index) => ({
        name: `r-${name}`,
        host: "desk.example",
        pathPrefix: `/${name}/`,
        service: "desk",
        priority: 2 * index,
        maxAttempts: 3,
        slackFactor: 2,
        targetLatencyMs: 500,
    })),
    services: [{ name: "desk", admissionCheck: true }],
    limits: { bodyBytes: 262_144 },
};

/** The arguments of the program that the deploy file names. */
const deployedCommand = (): readonly string[] => {
    const [, command = ""] = /^run = "node (.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8")) ?? [];
    return command.split(" ").filter(Boolean);
};

const settingsOf = (id: string, zone: string, ip: string, ports: readonly number[], storePort: number): string => {
    const [frontend, ready, first, last] = ports.map(String);
    return `
nodeName = "${id}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ipAddress = "${ip}"
zone = "${zone}"
region = "mass-east"
internalPortRange = [${first ?? ""},${last ?? ""}]
seedNodes = []
bootstrap = true
inTolerance = false
discovery = "platform"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1100
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
[zones]
worcester-a = "mass-east"
quincy-b = "mass-east"
portland-a = "mass-east"
[listenAddresses]
frontend = "${ip}:${frontend ?? ""}"
ready = "${ip}:${ready ?? ""}"
[limits]
cpuShare = 0.675
cpuCores = 1
memoryMb = 350
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 4000
acknowledgeMs = 5000
drainMs = 2500
gracePeriodS = 6
recoveryS = 12
maxHoldMs = ${String(longestLease)}
stopTimeoutMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remotePenalty = 2
checkpointIntervalS = 2
restoreMs = 600
harmMs = 4000
[platform]
address = "127.0.0.1:${String(storePort)}"
form = "table"
writesPerS = 800
readsPerS = 2000
transactionMs = 3.0
partitionWritesS = 300
rowBytes = 65536
crossPartition = true
historyS = 20
`;
};

/** Calls a host as a client does. */
export const call = async (host: Host, method: string, path: string, body?: object): Promise<Answer> => {
    const answer = await callJson({
        address: host.address,
        method,
        path,
        body,
        headers: {
            host: "desk.example",
            "content-type": "application/json",
            "x-deadline-ms": String(clientDeadline),
        },
        timeout: clientDeadline,
    }).catch(() => undefined);
    const { state } = (answer?.value ?? {}) as { readonly state?: string; };
    return { status: answer?.status ?? 0, state };
};

export const pause = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

const startHost = (
    id: string,
    address: string,
    settingsFile: string,
    note: Fleet["note"],
): Host & { readonly end: () => Promise<void>; } => {
    let child: ChildProcess | undefined;
    let exits = 0;
    let isEnding = false;
    let isSignalled = false;
    const start = (): void => {
        isSignalled = false;
        const started = spawn(process.execPath, deployedCommand(), {
            env: { PATH: process.env["PATH"], HOME: process.env["HOME"], JAYFRONT_BOOT: settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(`${settingsFile}.log`, { flags: "a" });
        started.stdout.pipe(log, { end: false });
        let lastError = "";
        started.stderr.on("data", (part: Buffer) => {
            lastError += part.toString();
        });
        child = started;
        started.once("exit", (code, signal) => {
            child = undefined;
            if (isEnding) {
                return;
            }
            if (!isSignalled) {
                exits += 1;
                const reason = /^FATAL ERROR.*$/m.exec(lastError)?.[0] ?? "";
                note(`${id} ended by itself (${String(code ?? signal)}) ${reason}`);
            }
            setTimeout(() => {
                if (!isEnding) {
                    start();
                }
            }, restartDelay);
        });
    };
    start();
    return {
        id,
        address,
        ownExits: () => exits,
        signal: name => {
            isSignalled ||= name === "SIGKILL" || name === "SIGTERM";
            child?.kill(name);
        },
        end: async () => {
            isEnding = true;
            const ended = child;
            if (ended !== undefined) {
                const exited = new Promise(resolve => {
                    ended.once("exit", resolve);
                });
                ended.kill("SIGKILL");
                await exited;
            }
        },
    };
};

/** Starts the stand-ins and the hosts, and waits until every host answers. */
export const startFleet = async (options: FleetOptions): Promise<Fleet> => {
    const { hostsPerZone, workersPerZone, tasksPerWorker, cpuOf = () => taskCpu } = options;
    const startedAt = performance.now();
    const lines: string[] = [];
    const note = (text: string): void => {
        lines.push(`${((performance.now() - startedAt) / 1_000).toFixed(2).padStart(7)} s  ${text}`);
    };
    const folder = mkdtempSync(join(tmpdir(), "jayfront-review-"));
    const workerIds = zones.flatMap(zone =>
        Array.from({ length: workersPerZone }, (...[, number]) => `w-${zone}-${String(number)}`)
    );
    const [storePort = 0, ...workerPorts] = await findNonEphemeralPorts(workerIds.length + 1);
    const portOf = new Map(workerIds.map((id, index) => [id, workerPorts[index] ?? 0]));
    const platform = createProtocolPlatform({
        workers: Object.fromEntries(zones.map(zone => [zone, workersPerZone])),
        longestLease,
        cpu: tasksPerWorker * taskCpu,
        cpuOf,
        addressOf: id => `127.0.0.1:${String(portOf.get(id) ?? 0)}`,
    });
    platform.configure(configuration);
    const servers: Server[] = [await serveHandler(storePort, () => platform.store.handler)];
    const workerServers = new Map<string, Server>();
    for (const [id, port] of portOf) {
        const server = await serveHandler(port, () => platform.workers.get(id)?.handler);
        workerServers.set(id, server);
        servers.push(server);
    }
    const downWorkers = new Set<string>();
    const { put } = platform.store;
    Object.assign(platform.store, {
        // A worker that is down writes no heartbeats.
        put: (table: string, key: string, value: unknown) => {
            if (table !== "servers" || !downWorkers.has(key)) {
                put(table, key, value);
            }
        },
    });
    const crashWorker = (id: string, downTime: number): void => {
        const server = workerServers.get(id);
        const worker = platform.workers.get(id);
        if (server === undefined || worker === undefined || downWorkers.has(id)) {
            return;
        }
        downWorkers.add(id);
        worker.restart();
        server.close();
        server.closeAllConnections();
        setTimeout(() => {
            worker.restart();
            server.listen(portOf.get(id), "127.0.0.1", () => {
                downWorkers.delete(id);
                platform.setWorkerState(id, "ready");
            });
        }, downTime);
    };
    const hosts: ReturnType<typeof startHost>[] = [];
    // The deploy file gives all hosts the same port for metrics, so that each has an address of its own.
    const network = 64 + process.pid % 128;
    for (const [index, zone] of zones.flatMap(name => Array<string>(hostsPerZone).fill(name)).entries()) {
        const ip = `127.0.${String(network)}.${String(index + 1)}`;
        const ports = await findNonEphemeralPorts(4);
        const id = `frontend-${zone}-${String(index)}`;
        const file = join(folder, `${id}.toml`);
        writeFileSync(file, settingsOf(id, zone, ip, ports, storePort));
        hosts.push(startHost(id, `${ip}:${String(ports[0])}`, file, note));
    }
    const close = async (): Promise<string> => {
        await Promise.all(hosts.map(host => host.end()));
        servers.forEach(server => {
            server.close();
            server.closeAllConnections();
        });
        platform.stop();
        if (process.env["KEEP_LOGS"] === undefined) {
            rmSync(folder, { recursive: true, force: true });
        }
        else {
            note(`logs in ${folder}`);
        }
        return `${lines.join("\n")}\n`;
    };
    const areReady = async (): Promise<boolean> => {
        const answers = await Promise.all(hosts.map(host => call(host, "GET", "/orders/")));
        return answers.every(({ status }) => status === 200);
    };
    while (!await areReady()) {
        if (performance.now() - startedAt > startTimeout) {
            await close();
            throw new Error("the hosts did not start");
        }
        await pause(200);
    }
    note(`${String(hosts.length)} hosts and ${String(workerIds.length)} workers are ready`);
    return { platform, hosts, note, crashWorker, close };
};

/** Runs a case: exits with 1 if `check` finds the rule broken, 0 if not, and 2 if the case could not run. */
export const runCase = async (
    name: string,
    options: FleetOptions,
    check: (fleet: Fleet, hasTrouble: boolean) => Promise<boolean>,
): Promise<void> => {
    const fleet = await startFleet(options).catch((error: unknown) => {
        process.stderr.write(`${String(error)}\n`);
        return undefined;
    });
    if (fleet === undefined) {
        process.exit(2);
    }
    // The hosts must not outlive a script that is ended early.
    (["SIGINT", "SIGTERM", "SIGHUP"] as const).forEach(signal => {
        process.on(signal, () => {
            void fleet.close().then(() => process.exit(2));
        });
    });
    let status = 2;
    try {
        const isBroken = await check(fleet, process.env["TROUBLE"] !== "0");
        fleet.note(isBroken ? "RESULT: the rule is broken" : "RESULT: the rule holds");
        status = isBroken ? 1 : 0;
    }
    catch (error) {
        fleet.note(`RESULT: the case could not run: ${String(error)}`);
    }
    const record = await fleet.close();
    writeFileSync(`review/${name}/record.txt`, record);
    process.stdout.write(record.split("\n").slice(-12).join("\n"));
    process.exit(status);
};
