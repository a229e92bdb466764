import { createProtocolJournal } from "./protocol-journal.js";
import type { ProtocolJournal } from "./protocol-journal.js";
import type { ProtocolNetwork } from "./protocol-network.js";
import { createProtocolNetwork } from "./protocol-network.js";
import type { ProtocolStore } from "./protocol-store.js";
import { createProtocolStore } from "./protocol-store.js";
import type { ProtocolWorker } from "./protocol-worker.js";
import { createProtocolWorker } from "./protocol-worker.js";

/** A simulated platform in one process: store, workers, and the network to them. */
export interface ProtocolPlatform {
    readonly network: ProtocolNetwork;
    readonly store: ProtocolStore;
    readonly journal: ProtocolJournal;
    readonly workers: ReadonlyMap<string, ProtocolWorker>;
    /** Address of the store in `network`. */
    readonly storeAddress: string;
    /** Returns the address of a worker. */
    readonly addressOf: (worker: string) => string;
    /** Sets a worker's state and writes its entry, as its heartbeat does; `undefined` removes the entry. */
    readonly setWorkerState: (worker: string, state: "ready" | "draining" | undefined) => void;
    /** Kills a worker and starts a new one at its address. Returns the new one's id; the old entry expires later. */
    readonly replaceWorker: (worker: string) => string;
    /** Ends a worker's process; a worker is back at its address after some seconds, see `keepsIdAfterCrash`. */
    readonly crashWorker: (worker: string) => void;
    /** Sets the millicores of a worker, which its next entry shows; what runs there goes on. */
    readonly resizeWorker: (worker: string, cpu: number) => void;
    /** Restarts a worker at once under its id, as one of another kind; its entry is written before it answers. */
    readonly restartAs: (worker: string, kind: string) => void;
    /** Writes the operator's configuration. */
    readonly configure: (document: object) => void;
    /** Writes the operator's request that nothing more start in the failure domain; the returned function removes it. */
    readonly evacuate: (failureDomain: string) => () => void;
    /** Stops the heartbeats. */
    readonly stop: () => void;
}

/** Options of {@link createProtocolPlatform}. */
export interface ProtocolPlatformOptions {
    /** Number of workers by failure domain. */
    readonly workers: Readonly<Record<string, number>>;
    /** Millicores of each worker. Default 16,000. */
    readonly cpu?: number;
    /** Longest lease in milliseconds. Default 6,000. */
    readonly longestLease?: number;
    /** Minimum milliseconds for which a draining worker stays. Default 2,500. */
    readonly drainTime?: number;
    /** Returns the millicores that a task takes. Default 0. */
    readonly cpuOf?: (task: string) => number;
    /** Whether a worker that crashed is back under its id, and not under a new one. Default false. */
    readonly keepsIdAfterCrash?: boolean;
    /** Returns the `IP:port` at which callers reach a worker. Default: a name that only `network` resolves. */
    readonly addressOf?: (worker: string) => string;
}

/** Address of the store in the simulated network. */
const storeAddress = "10.200.0.1:1";
/** Milliseconds between two heartbeats of a worker. */
const heartbeatInterval = 1_100;
/** Milliseconds without a heartbeat after which the entry of a replaced worker is removed. */
const entryTimeout = 3 * heartbeatInterval;
/** Milliseconds from a worker's crash until a worker is back at its address. */
const crashDownTime = 3_000;
/** Milliseconds that a worker takes to stop a task. */
const stopTime = 200;
/** Number of workers in a rack. */
const rackSize = 4;

interface WorkerState {
    state: "ready" | "draining" | undefined;
    /** Monotonic time in ms at which the worker last began to drain. */
    drainingSince: number;
    readonly zone: string;
    readonly rack: string;
}

/** Creates a platform whose workers are ready, are listed and send heartbeats. */
export const createProtocolPlatform = (options: ProtocolPlatformOptions): ProtocolPlatform => {
    const { cpu = 16_000, longestLease = 6_000, drainTime = 2_500, cpuOf } = options;
    const network = createProtocolNetwork();
    const store = createProtocolStore();
    const journal = createProtocolJournal();
    const workers = new Map<string, ProtocolWorker>();
    const startCounts = new Map<string, number>();
    const states = new Map<string, WorkerState>();
    /** Addresses of workers that replaced another one, by worker. */
    const inheritedAddresses = new Map<string, string>();
    /** Workers that have crashed and are not back. */
    const crashed = new Set<string>();
    /** Millicores of the workers that were resized. */
    const resized = new Map<string, number>();
    /** Kinds of the workers that are not of kind a. */
    const kinds = new Map<string, string>();
    let sequence = 0;

    const addressOf = (worker: string): string =>
        inheritedAddresses.get(worker) ?? options.addressOf?.(worker) ?? `${worker}:1`;
    const writeEntry = (id: string): void => {
        const listed = states.get(id);
        const worker = workers.get(id);
        if (listed?.state === undefined || worker === undefined) {
            store.put("servers", id, undefined);
            return;
        }
        sequence += 1;
        store.put("servers", id, {
            service: "desk",
            address: addressOf(id),
            zone: listed.zone,
            version: "v1",
            slots: 8,
            state: listed.state,
            coldRemainingMs: 0,
            capacity: { cpu: resized.get(id) ?? cpu, memoryRequestMb: 64_000, gpu: 0 },
            labels: [kinds.get(id) ?? "a", listed.rack],
            born: worker.bornAt(),
            sequence,
            ...(listed.state === "draining"
                ? { remainingMs: Math.max(0, Math.round(drainTime - (performance.now() - listed.drainingSince))) }
                : {}),
        });
    };
    network.addServer(storeAddress, store.handler);
    const addWorker = (id: string, state: WorkerState): void => {
        const worker = createProtocolWorker({
            id,
            failureDomain: state.zone,
            journal,
            cpu,
            startCounts,
            longestLease,
            stopTime,
            onCrash: () => {
                crashWorker(id);
            },
            ...(cpuOf === undefined ? {} : { cpuOf }),
        });
        workers.set(id, worker);
        network.addServer(addressOf(id), worker.handler);
        states.set(id, state);
        writeEntry(id);
    };
    for (const [zone, count] of Object.entries(options.workers)) {
        for (let number = 0; number < count; number += 1) {
            const rack = `r-${zone}-${String(Math.floor(number / rackSize))}`;
            addWorker(`w-${zone}-${String(number)}`, { state: "ready", drainingSince: -Infinity, zone, rack });
        }
    }
    const replaceWorker = (id: string): string => {
        const listed = states.get(id);
        const address = addressOf(id);
        const successor = `${id}+`;
        workers.get(id)?.kill();
        workers.delete(id);
        states.delete(id);
        setTimeout(() => {
            store.put("servers", id, undefined);
        }, entryTimeout);
        inheritedAddresses.set(successor, address);
        addWorker(successor, {
            state: "ready",
            drainingSince: -Infinity,
            zone: listed?.zone ?? "",
            rack: listed?.rack ?? "",
        });
        return successor;
    };
    const crashWorker = (id: string): void => {
        const address = addressOf(id);
        const worker = workers.get(id);
        if (worker === undefined || crashed.has(id)) {
            return;
        }
        crashed.add(id);
        worker.restart();
        network.removeServer(address);
        setTimeout(() => {
            crashed.delete(id);
            if (options.keepsIdAfterCrash === true) {
                worker.restart();
                network.addServer(address, worker.handler);
                writeEntry(id);
            }
            else {
                replaceWorker(id);
            }
        }, crashDownTime);
    };
    const timer = setInterval(() => {
        [...states].filter(([id, { state }]) => state !== undefined && !crashed.has(id)).forEach(([id]) => {
            writeEntry(id);
        });
    }, heartbeatInterval);
    return {
        network,
        store,
        journal,
        workers,
        storeAddress,
        addressOf,
        setWorkerState: (id, state) => {
            const listed = states.get(id);
            if (listed !== undefined) {
                listed.drainingSince = listed.state === "draining" ? listed.drainingSince : performance.now();
                listed.state = state;
                writeEntry(id);
            }
        },
        replaceWorker,
        crashWorker,
        resizeWorker: (id, millicores) => {
            resized.set(id, millicores);
            writeEntry(id);
        },
        restartAs: (id, kind) => {
            workers.get(id)?.restart();
            kinds.set(id, kind);
            writeEntry(id);
        },
        configure: document => {
            store.put("op", "config", document);
        },
        evacuate: failureDomain => {
            const key = `evacuate/${failureDomain}`;
            store.put("op", key, {});
            journal.evacuations.push({ failureDomain, from: performance.now(), until: Infinity });
            return () => {
                store.put("op", key, undefined);
                // All requests for a failure domain are one row.
                journal.evacuations.filter(period => period.failureDomain === failureDomain).forEach(period => {
                    period.until = Math.min(period.until, performance.now());
                });
            };
        },
        stop: () => {
            clearInterval(timer);
        },
    };
};
