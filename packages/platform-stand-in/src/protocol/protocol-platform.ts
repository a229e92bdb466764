import { createProtocolJournal } from "./protocol-journal.js";
import type { ProtocolJournal } from "./protocol-journal.js";
import type { ProtocolNetwork } from "./protocol-network.js";
import { createProtocolNetwork } from "./protocol-network.js";
import type { ProtocolStore } from "./protocol-store.js";
import { createProtocolStore } from "./protocol-store.js";
import type { ProtocolWorker } from "./protocol-worker.js";
import { createProtocolWorker } from "./protocol-worker.js";

/** The whole platform in one process: store, workers, and the network to them. */
export interface ProtocolPlatform {
    readonly network: ProtocolNetwork;
    readonly store: ProtocolStore;
    readonly journal: ProtocolJournal;
    readonly workers: ReadonlyMap<string, ProtocolWorker>;
    readonly storeAddress: string;
    readonly addressOf: (worker: string) => string;
    /** Writes a worker's entry, as its heartbeat does; `undefined` state removes it. */
    readonly setWorkerState: (worker: string, state: "ready" | "draining" | undefined) => void;
    /** Ends a worker; another one, whose id this returns, starts at its address. The old entry lapses later. */
    readonly replaceWorker: (worker: string) => string;
    /** Writes the operator's configuration. */
    readonly configure: (document: object) => void;
    readonly stop: () => void;
}

/** Options of {@link createProtocolPlatform}. */
export interface ProtocolPlatformOptions {
    /** Workers by failure domain. */
    readonly workers: Readonly<Record<string, number>>;
    /** Thousandths of cores of each worker. Default 16,000. */
    readonly cpu?: number;
    /** Longest lease in ms. Default 6,000. */
    readonly longestLease?: number;
    readonly cpuOf?: (task: string) => number;
    /** `IP:port` at which callers reach a worker. Default: a name that only the platform's own network knows. */
    readonly addressOf?: (worker: string) => string;
}

const storeAddress = "10.200.0.1:1";
const heartbeatInterval = 1_100;
/** Milliseconds of silence after which an entry is removed. */
const entryTimeout = 3 * heartbeatInterval;
const stopTime = 200;
const rackSize = 4;

interface WorkerState {
    state: "ready" | "draining" | undefined;
    readonly zone: string;
    readonly rack: string;
}

/** Creates a platform whose workers are listed and send heartbeats. */
export const createProtocolPlatform = (options: ProtocolPlatformOptions): ProtocolPlatform => {
    const { cpu = 16_000, longestLease = 6_000, cpuOf } = options;
    const network = createProtocolNetwork();
    const store = createProtocolStore();
    const journal = createProtocolJournal();
    const workers = new Map<string, ProtocolWorker>();
    const failures = new Map<string, number>();
    const states = new Map<string, WorkerState>();
    /** Addresses of workers that came to the address of another. */
    const inheritedAddresses = new Map<string, string>();
    let sequence = 0;

    const addressOf = (worker: string): string =>
        inheritedAddresses.get(worker) ?? options.addressOf?.(worker) ?? `${worker}:1`;
    const writeEntry = (id: string): void => {
        const known = states.get(id);
        const worker = workers.get(id);
        if (known?.state === undefined || worker === undefined) {
            store.put("servers", id, undefined);
            return;
        }
        sequence += 1;
        store.put("servers", id, {
            service: "desk",
            address: addressOf(id),
            zone: known.zone,
            version: "v1",
            slots: 8,
            state: known.state,
            coldRemainingMs: 0,
            capacity: { cpu, memoryRequestMb: 64_000, gpu: 0 },
            labels: ["a", known.rack],
            born: worker.bornAt(),
            sequence,
            ...(known.state === "draining" ? { remainingMs: 2_500 } : {}),
        });
    };
    network.addServer(storeAddress, store.handler);
    const addWorker = (id: string, state: WorkerState): void => {
        const worker = createProtocolWorker({
            id,
            journal,
            cpu,
            startCounts: failures,
            longestLease,
            stopTime,
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
            addWorker(`w-${zone}-${String(number)}`, { state: "ready", zone, rack });
        }
    }
    const replace = (id: string): string => {
        const known = states.get(id);
        const address = addressOf(id);
        const successor = `${id}+`;
        workers.get(id)?.kill();
        workers.delete(id);
        states.delete(id);
        setTimeout(() => {
            store.put("servers", id, undefined);
        }, entryTimeout);
        inheritedAddresses.set(successor, address);
        addWorker(successor, { state: "ready", zone: known?.zone ?? "", rack: known?.rack ?? "" });
        return successor;
    };
    const timer = setInterval(() => {
        [...states].filter(([, { state }]) => state !== undefined).forEach(([id]) => {
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
            const known = states.get(id);
            if (known !== undefined) {
                known.state = state;
                writeEntry(id);
            }
        },
        replaceWorker: replace,
        configure: document => {
            store.put("op", "config", document);
        },
        stop: () => {
            clearInterval(timer);
        },
    };
};
