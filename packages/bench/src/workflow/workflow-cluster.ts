import { serialize } from "node:v8";

import type { SendLimits } from "@jayfront/jayfrontd";
import {
    createPlatformConfiguration,
    createPlatformDirectory,
    createPlatformEvacuations,
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
    WorkerGateway,
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

import type { HostProcessor } from "./host-processor.js";
import { createHostProcessor, runOutsideHosts } from "./host-processor.js";
import type { HostWork } from "./host-work.js";
import { limitProcessor } from "./limit-processor.js";
import { createPeerConnections } from "./peer-connections.js";
import type { PlantedFault } from "./planted-faults.js";
import type { RegionLink } from "./region-link.js";

/** Entry hosts that run the daemon's code without its sockets, on the platform stand-in, all in one process. */
export interface WorkflowCluster {
    readonly platform: ProtocolPlatform;
    readonly hosts: ReadonlyMap<string, WorkflowHost>;
    /** Starts a host, also again after `kill`. */
    readonly start: (id: string) => void;
    /** Stops a host at once, as if its process was killed. */
    readonly kill: (id: string) => void;
    /** Cuts a host off from peers, store and workers; the returned function undoes that. */
    readonly isolate: (id: string) => () => void;
    /** Cuts a host off from its peers only; the returned function undoes that. */
    readonly isolatePeers: (id: string) => () => void;
    /** Closes the connections that a host has opened to its peers; the next calls open new ones. */
    readonly closeConnections: (id: string) => void;
    /** The host that holds a cell according to the cell's stored row; without an argument, of the first cell with one. */
    readonly holder: (cell?: string) => string | undefined;
    /** Submits a workflow to a host. `payload` tells the workers of the stand-in how its tasks behave. */
    readonly submit: (
        host: string,
        id: string,
        steps: readonly Partial<Step>[],
        payload?: object,
        schedule?: Schedule,
    ) => Promise<SubmissionAnswer>;
    /** Kills all hosts and stops the platform stand-in. */
    readonly stop: () => void;
}

/** Options of {@link createWorkflowCluster}. */
export interface WorkflowClusterOptions {
    /** Hosts by failure domain. */
    readonly hosts: Readonly<Record<string, number>>;
    /** Workers by failure domain. */
    readonly workers: Readonly<Record<string, number>>;
    /** Millicores that a task uses. Default: the stand-in's. */
    readonly cpuOf?: (task: string) => number;
    /** Millicores of each worker. Default 16,000. */
    readonly cpu?: number;
    /** Minimum milliseconds for which a draining worker stays. Default: that of the stand-in. */
    readonly drainTime?: number;
    /** Whether a worker that crashed is back under its id, and not under a new one. Default false. */
    readonly keepsIdAfterCrash?: boolean;
    /** Logger of the hosts. Default: silent. */
    readonly logger?: Logger;
    /** Longest time that workers run tasks without a renewed deadline, in ms. Default 6,000. */
    readonly longestLease?: number;
    /**
     * Most workers that a cell of several failure domains may have; 0 gives each domain its own cell. Default: that of
     * the hosts.
     */
    readonly largestCell?: number;
    /** Region by failure domain; the store is in the first one. Default: one region. */
    readonly regions?: Readonly<Record<string, string>>;
    /** Links that carry the traffic between regions. Default: unlimited. */
    readonly link?: RegionLink;
    /** Called for each call from one host to another. */
    readonly onPeerCall?: (from: string, kind: WorkflowMessageKind, to: string, limits?: SendLimits) => void;
    /** Number of cores by host. Default 1. */
    readonly processors?: Readonly<Record<string, number>>;
    /**
     * Milliseconds by which a host that starts measures the store to be slower than it is, for lack of processor time or
     * since the store is slow then. Default: none.
     */
    readonly startDelay?: (host: string) => number;
    /** Milliseconds of one core that a run takes of its holder. Default: none, so that no host is ever busy. */
    readonly timePerRun?: number;
    /**
     * Processor time that the hosts' work takes, for which `installHostTimers` has to have been called. Default: none,
     * so that timers, messages and answers are never late.
     */
    readonly hostWork?: HostWork;
    /** Protocol fault of all hosts. Default: none. */
    readonly plantedFault?: PlantedFault;
    /** Milliseconds after an evacuation request in which the hosts may start tasks there. Default: requests have no effect. */
    readonly evacuationTime?: number;
}

/** Milliseconds. */
const defaultLongestLease = 6_000;
/** Milliseconds; `clockDrift` is a share. */
const timing: Omit<CellTiming, "longestLease"> = {
    stopTime: 200,
    retention: 120_000,
    clockDrift: 0.02,
    lateOrderTime: 12_000,
};
/** Queue of all workflows that {@link WorkflowCluster.submit} submits. */
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
/** Milliseconds that a host has to answer a submission; the daemon grants this for the usual deadline of 3 s. */
const submissionTimeout = 1_350;
/** One-way latency between hosts, in ms. */
const peerLatency = 3;
/** Milliseconds that the store takes to answer within its region. */
const storeDelay = 4;
/** Additional milliseconds from another region. */
const crossRegionDelay = 24;
/** Milliseconds that a host waits for a peer's reply. */
const peerTimeout = 1_200;

const pause = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** Kilobytes of a value in JSON. */
const sizeOf = (value: unknown): number => (JSON.stringify(value) ?? "").length / 1_000;

/** Runs an action of a host once its processor gets to it. */
const takeTurn = <Value>(processor: HostProcessor, work: number, action: () => Promise<Value>): Promise<Value> =>
    new Promise((resolve, reject) => {
        processor.enqueue(work, () => {
            action().then(resolve, reject);
        });
    });

/** Lets what reaches a host from outside wait for its processor. */
const limitHost = (host: WorkflowHost, processor: HostProcessor, workPerMessage: number): WorkflowHost => ({
    ...host,
    router: {
        ...host.router,
        submit: (workflow, timeout) => takeTurn(processor, workPerMessage, () => host.router.submit(workflow, timeout)),
    },
    handlePeer: (message, onClose) =>
        takeTurn(processor, workPerMessage, () =>
            host.handlePeer(message, callback => {
                onClose(() => {
                    processor.enqueue(0, callback);
                });
            })),
});

/**
 * Makes a call on behalf of a host: it leaves after the work before it, and its answer, which takes `workOf` ms of one
 * core, is read after the work that arrived before it.
 */
const carryOut = <Value>(
    processor: HostProcessor | undefined,
    work: number,
    send: () => Promise<Value>,
    workOf: (value: Value) => number,
): Promise<Value> => {
    if (processor === undefined) {
        return send();
    }
    const delay = processor.charge(work);
    return new Promise(resolve => {
        runOutsideHosts(() =>
            void pause(delay).then(send).then(value => {
                processor.enqueue(workOf(value), () => {
                    resolve(value);
                });
            })
        );
    });
};

/** Creates a cluster whose hosts are all started. */
export const createWorkflowCluster = (options: WorkflowClusterOptions): WorkflowCluster => {
    const { logger = pino({ level: "silent" }), cpuOf, plantedFault = {}, longestLease = defaultLongestLease } =
        options;
    const platform = createProtocolPlatform({
        workers: options.workers,
        longestLease,
        ...(cpuOf === undefined ? {} : { cpuOf }),
        ...(options.cpu === undefined ? {} : { cpu: options.cpu }),
        ...(options.drainTime === undefined ? {} : { drainTime: options.drainTime }),
        ...(options.keepsIdAfterCrash === undefined ? {} : { keepsIdAfterCrash: options.keepsIdAfterCrash }),
    });
    platform.configure(deskConfiguration);
    const hosts = new Map<string, WorkflowHost>();
    const domains = new Map<string, string>();
    const isolated = new Set<string>();
    const { link, hostWork } = options;
    const regions = options.regions
        ?? Object.fromEntries(Object.keys(options.workers).map(domain => [domain, "region"]));
    const regionOf = (id: string): string => regions[domains.get(id) ?? ""] ?? "";
    const storeRegion = Object.values(regions)[0] ?? "";
    /** Waits until a message has crossed the link between two regions, if they differ. */
    const crossLink = async (from: string, to: string, value: unknown): Promise<void> => {
        if (from !== to) {
            await link?.transfer(from, to, serialize(value).length);
        }
    };
    const connections = createPeerConnections();
    let incarnations = 0;

    const networkOf = (from: string, isAlive: () => boolean, processor: HostProcessor | undefined): WorkflowNetwork => {
        const send: WorkflowNetwork["call"] = async (to, kind, body) => {
            const target = hosts.get(to.id);
            await pause(peerLatency);
            if (target === undefined) {
                return Result.err({ kind: "not-sent", message: `${to.id} is down` });
            }
            if (isolated.has(from) || isolated.has(to.id) || !isAlive()) {
                await pause(peerTimeout);
                return Result.err({ kind: "unknown", message: `${to.id} gave no reply` });
            }
            const connection = connections.between(from, to.id);
            const message = { kind, body: structuredClone(body) };
            const answered = crossLink(regionOf(from), regionOf(to.id), message).then(async () => {
                const value = await target.handlePeer(message, connection.onClose);
                await crossLink(regionOf(to.id), regionOf(from), value);
                return { value };
            });
            const timedOut = pause(peerTimeout).then(() => undefined);
            const reply = await Promise.race([answered, timedOut, connection.closed]);
            if (reply === undefined) {
                // The client takes the connection for dead.
                connection.close();
            }
            await pause(peerLatency);
            return isAlive() && hosts.get(to.id) === target && reply !== undefined
                ? Result.ok(structuredClone(reply.value) as never)
                : Result.err({ kind: "unknown", message: `${to.id} gave no reply` });
        };
        return {
            call: (to, kind, body, limits) => {
                options.onPeerCall?.(from, kind, to.id, limits);
                const work = (hostWork?.perMessage ?? 0) / 2;
                return carryOut(processor, work, () => send(to, kind, body), () => work);
            },
            close: () => undefined,
        };
    };
    const start = (id: string): void => {
        incarnations += 1;
        let isAlive = true;
        const self: EntryHostRecord = {
            id: id as HostId,
            failureDomain: (domains.get(id) ?? "") as FailureDomainId,
            peerAddress: `${id}:2`,
            incarnation: `${id}/${String(incarnations)}`,
            storeDelay: storeDelay + (regionOf(id) === storeRegion ? 0 : crossRegionDelay)
                + (options.startDelay?.(id) ?? 0),
            processors: options.processors?.[id] ?? 1,
        };
        const processor = hostWork === undefined
            ? undefined
            : createHostProcessor({ cores: self.processors, timePerTimer: hostWork.perTimer });
        const metrics = createWorkflowMetrics(new Registry());
        const connectedClient = platform.network.clientOf(id);
        const neverAnswered = new Promise<never>(() => undefined);
        const send: typeof connectedClient.call = call => {
            const answered = connectedClient.call(call).then(async answer => {
                if (answer.isOk && call.address === platform.storeAddress) {
                    await crossLink(storeRegion, regionOf(id), answer.value);
                }
                return answer;
            });
            const timedOut = pause(call.timeout).then(() =>
                Result.err({ isSent: true, isRefused: false, message: "no answer within the timeout of the call" })
            );
            return Promise.race([answered, timedOut]);
        };
        // A killed process neither sends calls nor receives answers.
        const client = {
            ...connectedClient,
            call: async (call: Parameters<typeof connectedClient.call>[0]) => {
                if (!isAlive) {
                    return neverAnswered;
                }
                const work = (hostWork?.perCall ?? 0) / 2;
                const answer = await carryOut(
                    processor,
                    work,
                    () => send(call),
                    value =>
                        call.address === platform.storeAddress && value.isOk
                            ? work + sizeOf(value.value.body) * (hostWork?.perStoreKilobyte ?? 0)
                            : work,
                );
                return isAlive ? answer : neverAnswered;
            },
        };
        const hostLogger = logger.child({ host: id });
        const store = createPlatformStore({ address: platform.storeAddress, client, metrics, logger: hostLogger });
        const unlimitedGateway = createPlatformWorkers(client, metrics);
        const limitedGateway = options.timePerRun === undefined
            ? unlimitedGateway
            : limitProcessor(unlimitedGateway, { cores: self.processors, timePerRun: options.timePerRun });
        const gateway: WorkerGateway = {
            ...limitedGateway,
            start: (worker, order) => {
                processor?.charge(hostWork?.perStart ?? 0);
                return limitedGateway.start(worker, order);
            },
        };
        const createHost = (): WorkflowHost =>
            createWorkflowHost({
                self,
                regions,
                timing: { ...timing, longestLease },
                store: plantedFault.store?.(store) ?? store,
                gateway: plantedFault.gateway?.(gateway) ?? gateway,
                directory: createPlatformDirectory(hostLogger),
                configurationSource: createPlatformConfiguration(store, hostLogger),
                network: networkOf(id, () => isAlive, processor),
                metrics,
                logger: hostLogger,
                storeHeardAt: store.heardAt,
                ...(options.largestCell === undefined ? {} : { largestCell: options.largestCell }),
                ...(options.evacuationTime === undefined
                    ? {}
                    : { evacuation: { source: createPlatformEvacuations(store), bound: options.evacuationTime } }),
            });
        const host = processor === undefined ? createHost() : processor.enter(createHost);
        hosts.set(id, {
            ...processor === undefined ? host : limitHost(host, processor, hostWork?.perMessage ?? 0),
            stop: () => {
                isAlive = false;
                host.stop();
                processor?.stop();
                connections.closeAllFrom(id);
            },
        });
        if (processor === undefined) {
            host.start();
        }
        else {
            processor.enter(host.start);
        }
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
        closeConnections: connections.closeAllFrom,
        holder: cell => {
            const row = platform.store.rows("cells")
                .find(candidate => candidate.key === "holder" && (cell === undefined || candidate.part === cell));
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
            const target = hosts.get(host);
            return target === undefined
                ? Promise.resolve({ kind: "unavailable", reason: "the host is down" })
                : target.router.submit(workflow, submissionTimeout);
        },
        stop: () => {
            [...hosts.keys()].forEach(kill);
            platform.stop();
        },
    };
};
