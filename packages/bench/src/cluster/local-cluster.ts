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

/** An entry host inside this process that can be killed, paused and drained. */
export interface LocalHost extends LocalProcess {
    readonly id: string;
    readonly failureDomain: string;
    readonly kill: () => void;
    /** Holds everything that goes in and out, as a stopped process does. */
    readonly setPaused: (isPaused: boolean) => void;
    readonly drain: () => Promise<void>;
    /** When the host was started, in monotonic milliseconds. */
    readonly startedAt: number;
}

/** An answer as a caller saw it. */
export interface ObservedResponse {
    readonly status: number;
    readonly result: "completed" | "not-run" | "unknown";
    readonly problem: string | undefined;
    readonly body: string;
    /** Worker that answered, where the request ran. */
    readonly worker: string | undefined;
}

/** Entry hosts and the stand-in inside this process, under whatever timers are installed. */
export interface LocalCluster {
    readonly standIn: StandIn;
    readonly network: LocalNetwork;
    readonly hosts: LocalHost[];
    readonly startHost: (id: string, failureDomain: string) => LocalHost;
    /** Hosts that are neither killed nor stopped. */
    readonly runningHosts: () => readonly LocalHost[];
    /** Sends a request to one host, as a caller. */
    readonly send: (host: LocalHost, options: SendOptions) => Promise<ObservedResponse>;
    /** Called with the path of each platform call before it is sent. */
    onPlatformCall: (path: string, body: unknown, host: string) => void;
    /** Puts a document in force from any running host; answers the status. */
    readonly promote: (host: LocalHost, text: string, base: number) => Promise<ObservedResponse>;
    readonly stop: () => void;
}

/** One request of {@link LocalCluster.send}. */
export interface SendOptions {
    readonly method?: string;
    readonly path: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Options of {@link createLocalCluster}. */
export interface LocalClusterOptions {
    readonly seed: number;
    /** Entry hosts by failure domain. */
    readonly hosts: Readonly<Record<string, number>>;
    /** Workers by failure domain. */
    readonly workers: Readonly<Record<string, number>>;
    /** Environment document, TOML. */
    readonly document: string;
    readonly hidden: HiddenBehaviour;
    /** Cores of each worker. Default 16. */
    readonly cores?: number;
    /** Slots of each worker. Default 8. */
    readonly slots?: number;
    /** Planted fault: workers obey any fence. */
    readonly ignoresFence?: boolean;
    /** Planted fault: tasks start once any worker is adopted. */
    readonly startsAfterFirstAdoption?: boolean;
    /** Level of the hosts' logs. Default silent. */
    readonly logLevel?: "silent" | "debug" | "info" | "warn";
}

/** Token that operators' calls carry. */
export const localToken = "local-cluster-operator-token";

const never = new Promise<void>(() => undefined);

const readResponse = async (response: CallerResponse): Promise<string> => {
    const parts: Uint8Array[] = [];
    for await (const part of response.body) {
        parts.push(Buffer.from(part as Uint8Array));
    }
    return Buffer.concat(parts).toString();
};

/** Creates the processes and starts them. */
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
    let nextJob = 1;

    const watchPlatform = (process: LocalProcess, platform: Platform): Platform => {
        /** Holds calls and replies while the process is paused; a killed one makes none. */
        const guard = <Functions extends object>(functions: Functions, name: string): Functions =>
            Object.fromEntries(
                Object.entries(functions).map(([key, act]) => [
                    key,
                    async (...parts: unknown[]) => {
                        await process.waitUntilRunning();
                        cluster.onPlatformCall(`${name}.${key}`, parts, process.host.id);
                        const answer: unknown = await (act as (...parts: unknown[]) => Promise<unknown>)(...parts);
                        await process.waitUntilRunning();
                        return answer;
                    },
                ]),
            ) as Functions;
        return {
            table: guard(platform.table, "table"),
            objects: guard(platform.objects, "objects"),
            liveList: guard(platform.liveList, "live-list"),
            workers: guard(platform.workers, "tasks"),
            endpoints: guard(platform.endpoints, "endpoints"),
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
        let noteKilled: (nothing: undefined) => void = () => undefined;
        const killed = new Promise<undefined>(done => {
            noteKilled = done;
        });
        const process: LocalProcess = {
            host,
            entryHost: () => isKilled ? undefined : entry,
            waitUntilRunning: () => isKilled ? never : paused ?? Promise.resolve(),
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
            platform: watchPlatform(process, createLocalPlatform(standIn, [failureDomain, id])),
            network: network.peerNetworkOf(process),
            logger,
            random,
            newId: () => {
                nextJob += 1;
                return `job-${String(nextJob)}`;
            },
            startsAfterFirstAdoption: options.startsAfterFirstAdoption ?? false,
        });
        const local: LocalHost = {
            ...process,
            id,
            failureDomain,
            startedAt: performance.now(),
            kill: () => {
                isKilled = true;
                noteKilled(undefined);
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
        hosts.push(local);
        entry.start();
        return local;
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
        const gone = new AbortController();
        const answer = host.waitUntilRunning().then(() =>
            entry.handle({
                method: request.method ?? "POST",
                path: request.path,
                headers: request.headers ?? {},
                body: Readable.from([Buffer.from(request.body ?? "")]),
                signal: gone.signal,
            })
        );
        const response = await Promise.race([answer, host.killed]);
        if (response === undefined || host.isKilled()) {
            return connectionLost;
        }
        const whole = readResponse(response).then(text => host.waitUntilRunning().then(() => text)).catch(() =>
            undefined
        );
        const body = await Promise.race([whole, host.killed]);
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
    const operator = { authorization: `Bearer ${localToken}` };
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
                headers: operator,
            });
            const version = trial.status === 200 ? (JSON.parse(trial.body) as { version: number; }).version : 0;
            await send(host, {
                method: "PUT",
                path: "/operator/environments/trial",
                headers: operator,
                body: JSON.stringify({ text, base: version }),
            });
            return send(host, {
                path: "/operator/environments/production/promote",
                headers: operator,
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
