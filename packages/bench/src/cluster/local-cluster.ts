import { Readable } from "node:stream";

import type { CallerResponse, EntryHost } from "@jayfront/jayfrontd";
import { createEntryHost, settingsSchema } from "@jayfront/jayfrontd";
import type { Platform } from "@jayfront/platform";
import type { HiddenBehaviour, StandIn } from "@jayfront/platform-stand-in";
import { createLocalPlatform, createStandIn, createWorkers } from "@jayfront/platform-stand-in";
import type { Host, Worker } from "@jayfront/world";
import { failureDomainId, hostId } from "@jayfront/world";
import pino from "pino";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { LocalNetwork, LocalProcess } from "./local-network.js";
import { createLocalNetwork } from "./local-network.js";

/** A simulated entry host inside this process that can be killed, paused and drained. */
export interface LocalHost extends LocalProcess {
    readonly id: string;
    readonly failureDomain: string;
    /** Stops the host at once, without handovers, as SIGKILL does. */
    readonly kill: () => void;
    /** Delays everything that the host sends or receives until it is resumed, as SIGSTOP does to a process. */
    readonly setPaused: (isPaused: boolean) => void;
    /** Stops the host as planned; resolves once it has handed over its cells and ended. */
    readonly drain: () => Promise<void>;
    /** When the host was started, in monotonic milliseconds. */
    readonly startedAt: number;
}

/** A response as its caller saw it. */
export interface ObservedResponse {
    /** HTTP status; 0 if the connection was refused or lost. */
    readonly status: number;
    readonly result: "completed" | "not-run" | "unknown";
    /** Name of the problem; undefined if there was none. */
    readonly problem: string | undefined;
    readonly body: string;
    /** Worker that ran the request; undefined unless `result` is `completed`. */
    readonly worker: string | undefined;
}

/** Simulated entry hosts and the stand-in inside this process; they use the timers that are installed at the time. */
export interface LocalCluster {
    readonly standIn: StandIn;
    readonly network: LocalNetwork;
    /** All hosts that were ever started, in order. */
    readonly hosts: LocalHost[];
    /** Starts a further host. */
    readonly startHost: (id: string, failureDomain: string) => LocalHost;
    /** Hosts that were neither killed nor drained. */
    readonly runningHosts: () => readonly LocalHost[];
    /** Sends a caller's request to one host. */
    readonly send: (host: LocalHost, options: SendOptions) => Promise<ObservedResponse>;
    /** Called before each platform call with its path, such as `table.commit`, its arguments and the host's id. */
    onPlatformCall: (path: string, body: unknown, host: string) => void;
    /**
     * Writes a document to the trial environment through `host` and promotes it over version `base` of production.
     * Returns the response to the promotion.
     */
    readonly promote: (host: LocalHost, text: string, base: number) => Promise<ObservedResponse>;
    /** Kills all running hosts. */
    readonly stop: () => void;
}

/** A request of {@link LocalCluster.send}. */
export interface SendOptions {
    /** Default POST. */
    readonly method?: string;
    readonly path: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Options of {@link createLocalCluster}. */
export interface LocalClusterOptions {
    /** Seed of everything that the hosts and the stand-in draw. */
    readonly seed: number;
    /** Number of entry hosts by failure domain. */
    readonly hosts: Readonly<Record<string, number>>;
    /** Number of workers by failure domain. */
    readonly workers: Readonly<Record<string, number>>;
    /** Environment document that is promoted at the start, TOML. */
    readonly document: string;
    readonly hidden: HiddenBehaviour;
    /** Cores of each worker. Default 16. */
    readonly cores?: number;
    /** Slots of each worker. Default 8. */
    readonly slots?: number;
    /** Planted fault: workers obey orders with any fence, also an outdated one. */
    readonly ignoresFence?: boolean;
    /** Planted fault: the holder starts tasks once it has adopted its first worker. */
    readonly startsAfterFirstAdoption?: boolean;
    /** Log level of the hosts. Default silent. */
    readonly logLevel?: "silent" | "debug" | "info" | "warn";
}

/** Bearer token of operators' calls. */
export const localToken = "local-cluster-operator-token";

const neverResolves = new Promise<void>(() => undefined);

const readResponse = async (response: CallerResponse): Promise<string> => {
    const parts: Uint8Array[] = [];
    for await (const part of response.body) {
        parts.push(Buffer.from(part as Uint8Array));
    }
    return Buffer.concat(parts).toString();
};

/** Creates and starts the stand-in and the entry hosts, and promotes the environment document. */
export const createLocalCluster = (options: LocalClusterOptions): LocalCluster => {
    const { seed, cores = 16, slots = 8, document, hidden, logLevel = "silent" } = options;
    const random = xoroshiro128plus(seed);
    const workers: readonly Worker[] = createWorkers(
        Object.entries(options.workers).map(([failureDomain, count]) => ({
            failureDomain,
            count,
            cores,
            memory: cores * 4,
            accelerators: 0,
            slots,
            connections: 64,
            rack: 8,
        })),
        id => `local:${id}`,
    );
    const standIn = createStandIn({ workers, hidden, seed, ignoresFence: options.ignoresFence ?? false });
    const network = createLocalNetwork();
    const hosts: LocalHost[] = [];
    const logger = pino({ level: logLevel });
    let nextPort = 1;
    let lastJobNumber = 1;

    const interceptPlatform = (process: LocalProcess, platform: Platform): Platform => {
        /** Delays calls and replies while the process is paused; those of a killed process never resolve. */
        const intercept = <Functions extends object>(functions: Functions, name: string): Functions =>
            Object.fromEntries(
                Object.entries(functions).map(([key, method]) => [
                    key,
                    async (...parts: unknown[]) => {
                        await process.waitUntilRunning();
                        cluster.onPlatformCall(`${name}.${key}`, parts, process.host.id);
                        const result: unknown = await (method as (...parts: unknown[]) => Promise<unknown>)(...parts);
                        await process.waitUntilRunning();
                        return result;
                    },
                ]),
            ) as Functions;
        return {
            table: intercept(platform.table, "table"),
            objects: intercept(platform.objects, "objects"),
            liveList: intercept(platform.liveList, "live-list"),
            workers: intercept(platform.workers, "tasks"),
            endpoints: intercept(platform.endpoints, "endpoints"),
        };
    };
    const startHost = (id: string, failureDomain: string): LocalHost => {
        const host: Host = {
            id: hostId(id),
            failureDomain: failureDomainId(failureDomain),
            address: `127.0.0.1:${String(nextPort)}`,
            peerAddress: `127.0.0.1:${String(nextPort + 10_000)}`,
        };
        nextPort += 1;
        let isKilled = false;
        let resume: (() => void) | undefined;
        let paused: Promise<void> | undefined;
        let resolveKilled: (value: undefined) => void = () => undefined;
        const killed = new Promise<undefined>(done => {
            resolveKilled = done;
        });
        const process: LocalProcess = {
            host,
            entryHost: () => isKilled ? undefined : entry,
            waitUntilRunning: () => isKilled ? neverResolves : paused ?? Promise.resolve(),
            isKilled: () => isKilled,
            killed,
            isPaused: () => paused !== undefined,
        };
        const settings = settingsSchema.parse({
            host: { id, failureDomain, address: host.address, peerAddress: host.peerAddress },
            platform: { address: "127.0.0.1:1" },
            security: { peerKey: "local-cluster-peer-key-0123456789abcdef", operatorTokens: [localToken] },
        });
        const entry: EntryHost = createEntryHost({
            settings,
            platform: interceptPlatform(process, createLocalPlatform(standIn, [failureDomain, id])),
            network: network.peerNetworkOf(process),
            logger,
            random,
            newId: () => {
                lastJobNumber += 1;
                return `job-${String(lastJobNumber)}`;
            },
            startsAfterFirstAdoption: options.startsAfterFirstAdoption ?? false,
        });
        const localHost: LocalHost = {
            ...process,
            id,
            failureDomain,
            startedAt: performance.now(),
            kill: () => {
                isKilled = true;
                resolveKilled(undefined);
                entry.kill();
            },
            setPaused: isPaused => {
                resume?.();
                resume = undefined;
                paused = isPaused
                    ? new Promise(done => {
                        resume = done;
                    })
                    : undefined;
            },
            drain: async () => {
                await entry.drain();
                isKilled = true;
            },
        };
        network.add(process);
        hosts.push(localHost);
        entry.start();
        return localHost;
    };
    const send = async (host: LocalHost, request: SendOptions): Promise<ObservedResponse> => {
        const connectionLost: ObservedResponse = {
            status: 0,
            result: "unknown",
            problem: "connection-lost",
            body: "",
            worker: undefined,
        };
        const refused: ObservedResponse = { ...connectionLost, result: "not-run", problem: "connection-refused" };
        const entry = host.entryHost();
        if (entry === undefined) {
            return refused;
        }
        const abortController = new AbortController();
        const pendingResponse = host.waitUntilRunning().then(() =>
            entry.handle({
                method: request.method ?? "POST",
                path: request.path,
                headers: request.headers ?? {},
                body: Readable.from([Buffer.from(request.body ?? "")]),
                signal: abortController.signal,
            })
        );
        const response = await Promise.race([pendingResponse, host.killed]);
        if (response === undefined || host.isKilled()) {
            return connectionLost;
        }
        const bodyRead = readResponse(response).then(text => host.waitUntilRunning().then(() => text)).catch(() =>
            undefined
        );
        const body = await Promise.race([bodyRead, host.killed]);
        if (body === undefined) {
            return connectionLost;
        }
        const header = (name: string): string | undefined => {
            const value = response.headers[name];
            return typeof value === "string" ? value : value?.[0];
        };
        const result = header("x-jayfront-result") as ObservedResponse["result"];
        return {
            status: response.status,
            result,
            problem: header("x-jayfront-problem"),
            body,
            worker: result === "completed" ? body.split(" ")[0] : undefined,
        };
    };
    const operatorHeaders = { authorization: `Bearer ${localToken}` };
    const cluster: LocalCluster = {
        standIn,
        network,
        hosts,
        startHost,
        onPlatformCall: () => undefined,
        runningHosts: () => hosts.filter(host => !host.isKilled()),
        send,
        promote: async (host, text, base) => {
            const trial = await send(host, {
                method: "GET",
                path: "/operator/environments/trial",
                headers: operatorHeaders,
            });
            const version = trial.status === 200 ? (JSON.parse(trial.body) as { version: number; }).version : 0;
            await send(host, {
                method: "PUT",
                path: "/operator/environments/trial",
                headers: operatorHeaders,
                body: JSON.stringify({ text, base: version }),
            });
            return send(host, {
                path: "/operator/environments/production/promote",
                headers: operatorHeaders,
                body: JSON.stringify({ from: "trial", base }),
            });
        },
        stop: () => {
            for (const host of hosts) {
                if (!host.isKilled()) {
                    host.kill();
                }
            }
        },
    };
    for (const [failureDomain, count] of Object.entries(options.hosts)) {
        for (let number = 1; number <= count; number += 1) {
            startHost(`${failureDomain}-${String(number)}`, failureDomain);
        }
    }
    const [first] = hosts;
    if (first !== undefined) {
        void cluster.promote(first, document, 0);
    }
    return cluster;
};
