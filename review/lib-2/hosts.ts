import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

import { findFreePorts } from "./find-free-ports.js";
import { callHost } from "./submitter.js";

/** An entry host that runs as a process of its own. */
export interface EntryHost {
    readonly id: string;
    /** Address for clients. */
    readonly address: string;
    readonly start: () => void;
    /** Sends a signal to the process and, if it ends it, waits for the end. */
    readonly signal: (signal: NodeJS.Signals) => Promise<void>;
    readonly isRunning: () => boolean;
    /** Ends of the process that no signal of the case has caused. */
    readonly ownEnds: () => readonly string[];
}

/** Entry hosts and their temporary folder. */
export interface EntryHosts {
    readonly hosts: readonly EntryHost[];
    /** Folder of the settings and logs. */
    readonly folder: string;
    readonly close: () => Promise<void>;
}

/** Options of {@link startHosts}. */
export interface HostsOptions {
    /** Zones of the hosts, one entry for each host. */
    readonly zones: readonly string[];
    readonly storeAddress: string;
    readonly longestLease: number;
    readonly stopTime: number;
}

const region = "mass-east";
const startTimeout = 25_000;
/** The command of the role in deploy/system.toml, without the port of the metrics. */
const command = [
    "--max-old-space-size=160",
    "--max-semi-space-size=16",
    "--interrupt-budget=600000",
    "target/jayfrontd.cjs",
];
const root = resolve(process.env["REVIEW_ROOT"] ?? ".");

const settingsOf = (
    id: string,
    zone: string,
    ip: string,
    [frontend = 0, ready = 0, peers = 0]: readonly number[],
    { zones, storeAddress, longestLease, stopTime }: HostsOptions,
): string =>
    [
        `nodeName = "${id}"`,
        'role = "entry"',
        'machineClass = "frontend"',
        'serves = ["frontend"]',
        `ipAddress = "${ip}"`,
        `zone = "${zone}"`,
        `region = "${region}"`,
        `internalPortRange = [${String(peers)}, ${String(peers + 15)}]`,
        "bootstrap = true",
        "heartbeatIntervalMs = 1100",
        'orders = "call"',
        "[zones]",
        ...[...new Set(zones)].map(name => `${name} = "${region}"`),
        "[listenAddresses]",
        `frontend = "${ip}:${String(frontend)}"`,
        `ready = "${ip}:${String(ready)}"`,
        "[limits]",
        "cpuShare = 0.675",
        "cpuCores = 1",
        "memoryMb = 350",
        "[bounds]",
        "contactMs = 4000",
        "acknowledgeMs = 5000",
        "gracePeriodS = 6",
        `maxHoldMs = ${String(longestLease)}`,
        `stopTimeoutMs = ${String(stopTime)}`,
        "gangTimeoutMs = 3000",
        "status_s = 120",
        "remotePenalty = 2",
        "checkpointIntervalS = 2",
        "restoreMs = 600",
        "harmMs = 4000",
        "[platform]",
        `address = "${storeAddress}"`,
        'form = "table"',
        "rowBytes = 65536",
        "historyS = 20",
    ].join("\n");

/** Starts entry hosts by the command of the deploy file and waits until each of them serves. */
export const startHosts = async (options: HostsOptions): Promise<EntryHosts> => {
    const folder = mkdtempSync(join(tmpdir(), "jayfront-review-2-"));
    const children = new Set<ChildProcess>();
    const removeFolder = (): void => {
        if (process.env["KEEP_LOGS"] !== "1") {
            rmSync(folder, { recursive: true, force: true });
        }
    };
    // However the case ends, its processes end with it.
    process.once("exit", () => {
        children.forEach(child => child.kill("SIGKILL"));
        removeFolder();
    });

    const createHost = async (zone: string, index: number): Promise<EntryHost> => {
        const id = `frontend-${zone}-${String(index + 1)}`;
        const ip = `127.0.22.${String(index + 1)}`;
        const ports = await findFreePorts(ip, 4);
        const settingsPath = join(folder, `${id}.toml`);
        writeFileSync(settingsPath, settingsOf(id, zone, ip, ports, options));
        const ownEnds: string[] = [];
        let child: ChildProcess | undefined;
        let isEndExpected = false;
        const start = (): void => {
            const log = openSync(join(folder, `${id}.log`), "a");
            const { PATH: path = "", HOME: home = "" } = process.env;
            const started = spawn(process.execPath, [...command, String(ports[3])], {
                cwd: root,
                env: { PATH: path, HOME: home, LANG: "C.UTF-8", JAYFRONT_BOOT: settingsPath },
                stdio: ["ignore", log, log],
            });
            closeSync(log);
            isEndExpected = false;
            child = started;
            children.add(started);
            started.once("exit", (code, signal) => {
                children.delete(started);
                child = child === started ? undefined : child;
                if (!isEndExpected) {
                    ownEnds.push(String(code ?? signal));
                }
            });
        };
        start();
        return {
            id,
            address: `${ip}:${String(ports[0])}`,
            start,
            signal: async signal => {
                const target = child;
                if (target === undefined) {
                    return;
                }
                target.kill(signal);
                if (signal === "SIGKILL" || signal === "SIGTERM") {
                    isEndExpected = true;
                    await new Promise<void>(done => {
                        target.once("exit", () => {
                            done();
                        });
                    });
                }
            },
            isRunning: () => child !== undefined,
            ownEnds: () => ownEnds,
        };
    };
    const hosts: EntryHost[] = [];
    const close = async (): Promise<void> => {
        await Promise.all([...children].map(child =>
            new Promise<void>(done => {
                child.removeAllListeners("exit");
                child.once("exit", () => {
                    done();
                });
                child.kill("SIGKILL");
            })
        ));
        removeFolder();
    };
    for (const [index, zone] of options.zones.entries()) {
        hosts.push(await createHost(zone, index));
    }
    const deadline = performance.now() + startTimeout;
    for (const host of hosts) {
        while ((await callHost(host.address, "GET", "", undefined)).status !== 200) {
            if (performance.now() > deadline) {
                await close();
                throw new Error(`${host.id} does not serve`);
            }
            await sleep(100);
        }
    }
    return { hosts, folder, close };
};
