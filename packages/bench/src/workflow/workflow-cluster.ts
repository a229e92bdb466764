import { serialize } from "node:v8";

import {
    createPlatformConfiguration,
    createPlatformDirectory,
    createPlatformStore,
    createPlatformWorkers,
} from "@jayfront/platform-adapter";
import type { ProtocolPlatform } from "@jayfront/platform-stand-in";
import { createProtocolPlatform, deskConfiguration } from "@jayfront/platform-stand-in";
import type {
    CellTiming,
    EntryHostRecord,
    Queue,
    Schedule,
    Step,
    SubmissionAnswer,
    Workflow,
    WorkflowHost,
    WorkflowMessageKind,
    WorkflowNetwork,
} from "@jayfront/workflow";
import { createStep, createWorkflowHost, createWorkflowMetrics } from "@jayfront/workflow";
import type { FailureDomainId, HostId, JobId, ServiceId } from "@jayfront/world";
import type { Logger } from "pino";
import pino from "pino";
import { Registry } from "prom-client";
import { Result } from "true-myth";

import type { PlantedFault } from "./planted-faults.js";
import type { RegionLink } from "./region-link.js";

/** Entry hosts with the daemon's whole code but its sockets, on the platform's stand-in, in one process. */
export interface WorkflowCluster {
    readonly platform: ProtocolPlatform;
    readonly hosts: ReadonlyMap<string, WorkflowHost>;
    /** Starts a host, or starts it again after `kill`. */
    readonly start: (id: string) => void;
    /** Ends a host at once. */
    readonly kill: (id: string) => void;
    /** Nothing reaches the host and nothing leaves it; what it returns heals that. */
    readonly isolate: (id: string) => () => void;
    /** No peer reaches the host and it reaches no peer; what it returns heals that. */
    readonly isolatePeers: (id: string) => () => void;
    /** The host that holds a cell, by the cell's row; without a name, of any. */
    readonly holder: (cell?: string) => string | undefined;
    readonly submit: (
        host: string,
        id: string,
        steps: readonly Partial<Step>[],
        payload?: object,
        schedule?: Schedule,
    ) => Promise<SubmissionAnswer>;
    readonly stop: () => void;
}

/** Options of {@link createWorkflowCluster}. */
export interface WorkflowClusterOptions {
    /** Hosts by failure domain. */
    readonly hosts: Readonly<Record<string, number>>;
    /** Workers by failure domain. */
    readonly workers: Readonly<Record<string, number>>;
    readonly cpuOf?: (task: string) => number;
    /** Thousandths of cores of each worker. Default 16,000. */
    readonly cpu?: number;
    readonly logger?: Logger;
    /** Milliseconds for which workers run tasks without a new deadline. Default 6,000. */
    readonly longestLease?: number;
    /** Workers that a cell of several failure domains may have; 0 gives each domain its own. Default: the hosts' own. */
    readonly largestCell?: number;
    /** Regions by failure domain. Default: one region. */
    readonly regions?: Readonly<Record<string, string>>;
    /** Carries what crosses between the store's region, the first one, and others. Default: crosses at once, uncounted. */
    readonly link?: RegionLink;
    /** Sees each call from one host to another. */
    readonly onPeerCall?: (from: string, kind: WorkflowMessageKind, to: string) => void;
    /** Cores by host. Default 1 each. */
    readonly processors?: Readonly<Record<string, number>>;
    /** Makes all hosts behave as if their contract had a fault. Default: none. */
    readonly plantedFault?: PlantedFault;
}

const defaultLease = 6_000;
const timing: Omit<CellTiming, "longestLease"> = {
    stopTime: 200,
    retention: 120_000,
    clockDrift: 0.02,
    lateOrderTime: 12_000,
};
/** Queue of the workflows that {@link WorkflowCluster.submit} hands in. */
const queue: Queue = {
    name: "r-urgent",
    hostName: "desk.example",
    pathPrefix: "/urgent/",
    service: "desk" as ServiceId,
    priority: 0,
    maxAttempts: 3,
    slackFactor: 2,
    latencyTarget: 500,
};
/** Milliseconds; what an adapter makes of a usual deadline of 3 s. */
const submissionPatience = 1_350;
const peerLatency = 3;
/** Milliseconds that the store takes to answer, and more in another region. */
const storeDelay = 4;
const farDelay = 24;
const peerTimeout = 1_200;

const pause = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** Creates a cluster whose hosts are all started. */
export const createWorkflowCluster = (options: WorkflowClusterOptions): WorkflowCluster => {
    const { logger = pino({ level: "silent" }), cpuOf, plantedFault: fault = {}, longestLease = defaultLease } =
        options;
    const platform = createProtocolPlatform({
        workers: options.workers,
        longestLease,
        ...(cpuOf === undefined ? {} : { cpuOf }),
        ...(options.cpu === undefined ? {} : { cpu: options.cpu }),
    });
    platform.configure(deskConfiguration);
    const hosts = new Map<string, WorkflowHost>();
    const domains = new Map<string, string>();
    const isolated = new Set<string>();
    const { link } = options;
    const regions = options.regions
        ?? Object.fromEntries(Object.keys(options.workers).map(domain => [domain, "region"]));
    const regionOf = (id: string): string => regions[domains.get(id) ?? ""] ?? "";
    const storeRegion = Object.values(regions)[0] ?? "";
    const cross = async (from: string, to: string, value: unknown): Promise<void> => {
        if (from !== to) {
            await link?.transfer(from, to, serialize(value).length);
        }
    };
    let lives = 0;

    const networkOf = (from: string, isAlive: () => boolean): WorkflowNetwork => ({
        call: async (to, kind, body) => {
            options.onPeerCall?.(from, kind, to.id);
            const target = hosts.get(to.id);
            await pause(peerLatency);
            if (target === undefined) {
                return Result.err({ kind: "not-sent", message: `${to.id} is down` });
            }
            if (isolated.has(from) || isolated.has(to.id) || !isAlive()) {
                await pause(peerTimeout);
                return Result.err({ kind: "unknown", message: `${to.id} gave no reply` });
            }
            const message = { kind, body: structuredClone(body) };
            const answered = cross(regionOf(from), regionOf(to.id), message).then(async () => {
                const value = await target.handlePeer(message, () => undefined);
                await cross(regionOf(to.id), regionOf(from), value);
                return { value };
            });
            const reply = await Promise.race([answered, pause(peerTimeout).then(() => undefined)]);
            await pause(peerLatency);
            return isAlive() && hosts.get(to.id) === target && reply !== undefined
                ? Result.ok(structuredClone(reply.value) as never)
                : Result.err({ kind: "unknown", message: `${to.id} gave no reply` });
        },
        close: () => undefined,
    });
    const start = (id: string): void => {
        lives += 1;
        let isAlive = true;
        const self: EntryHostRecord = {
            id: id as HostId,
            failureDomain: (domains.get(id) ?? "") as FailureDomainId,
            peerAddress: `${id}:2`,
            incarnation: `${id}/${String(lives)}`,
            storeDelay: regionOf(id) === storeRegion ? storeDelay : storeDelay + farDelay,
            processors: options.processors?.[id] ?? 1,
        };
        const metrics = createWorkflowMetrics(new Registry());
        const open = platform.network.clientOf(id);
        const silence = new Promise<never>(() => undefined);
        // A process that was killed neither sends nor hears anything.
        const client = {
            ...open,
            call: async (call: Parameters<typeof open.call>[0]) => {
                if (!isAlive) {
                    return silence;
                }
                const answered = open.call(call).then(async answer => {
                    if (answer.isOk && call.address === platform.storeAddress) {
                        await cross(storeRegion, regionOf(id), answer.value);
                    }
                    return answer;
                });
                const givenUp = pause(call.timeout).then(() =>
                    Result.err({ isSent: true, isRefused: false, message: "the answer came too late" })
                );
                const answer = await Promise.race([answered, givenUp]);
                return isAlive ? answer : silence;
            },
        };
        const hostLogger = logger.child({ host: id });
        const store = createPlatformStore({ address: platform.storeAddress, client, metrics, logger: hostLogger });
        const gateway = createPlatformWorkers(client, metrics);
        const host = createWorkflowHost({
            self,
            regions,
            timing: { ...timing, longestLease },
            store: fault.store?.(store) ?? store,
            gateway: fault.gateway?.(gateway) ?? gateway,
            directory: createPlatformDirectory(hostLogger),
            configurationSource: createPlatformConfiguration(store, hostLogger),
            network: networkOf(id, () => isAlive),
            metrics,
            logger: hostLogger,
            storeHeardAt: store.heardAt,
            ...(options.largestCell === undefined ? {} : { largestCell: options.largestCell }),
        });
        hosts.set(id, {
            ...host,
            stop: () => {
                isAlive = false;
                host.stop();
            },
        });
        host.start();
    };
    const kill = (id: string): void => {
        hosts.get(id)?.stop();
        hosts.delete(id);
    };
    for (const [domain, count] of Object.entries(options.hosts)) {
        for (let number = 0; number < count; number += 1) {
            const id = `h-${domain}-${String(number)}`;
            domains.set(id, domain);
            start(id);
        }
    }
    return {
        platform,
        hosts,
        start,
        kill,
        isolate: id => {
            isolated.add(id);
            const heal = platform.network.addFault({ matches: from => from === id, action: "cut" });
            return () => {
                isolated.delete(id);
                heal();
            };
        },
        isolatePeers: id => {
            isolated.add(id);
            return () => {
                isolated.delete(id);
            };
        },
        holder: cell => {
            const row = platform.store.rows("cells")
                .find(found => found.key === "holder" && (cell === undefined || found.part === cell));
            return (row?.value as { host?: string; } | undefined)?.host;
        },
        submit: (host, id, steps, payload = {}, schedule) => {
            const workflow: Workflow = {
                id: id as JobId,
                queue,
                payload: JSON.stringify(payload),
                steps: steps.map(createStep),
                ...(schedule === undefined ? {} : { schedule }),
                acceptedAt: Date.now(),
            };
            const found = hosts.get(host);
            return found === undefined
                ? Promise.resolve({ kind: "unavailable", reason: "the host is down" })
                : found.router.submit(workflow, submissionPatience);
        },
        stop: () => {
            [...hosts.keys()].forEach(kill);
            platform.stop();
        },
    };
};
