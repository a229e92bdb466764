import type { Server } from "node:http";

import { findFreePorts } from "./find-free-ports.js";
import type { Recorder } from "./recorder.js";
import { closeServer, serveJson } from "./serve-json.js";
import type { Store } from "./store.js";
import { createStore } from "./store.js";
import type { Worker, WorkerEvent } from "./worker.js";
import { createWorker } from "./worker.js";

/** One worker of the platform with its network and its heartbeats. */
export interface PlatformWorker {
    readonly id: string;
    readonly worker: Worker;
    /** Partitions the worker from everything; what runs there runs on. */
    readonly cut: () => void;
    /** As `cut`, but connections are reset and refused meanwhile. */
    readonly cutRefusing: () => Promise<void>;
    readonly heal: () => Promise<void>;
    /** Ends the worker's process. */
    readonly crash: () => Promise<void>;
    /** Starts it again under its id; `kind` is its kind from now on. */
    readonly restart: (kind?: string) => Promise<void>;
    /** Announces that the worker leaves; it serves until `leave` is called. */
    readonly drain: (remaining: number) => void;
    readonly leave: () => Promise<void>;
    readonly hasLeft: () => boolean;
}

/** The platform: its store and its workers, all of which have addresses of their own on loopback. */
export interface Platform {
    readonly storeAddress: string;
    readonly store: Store;
    readonly workers: readonly PlatformWorker[];
    readonly events: readonly (WorkerEvent & { readonly at: number; })[];
    readonly close: () => Promise<void>;
}

/** Options of {@link startPlatform}. */
export interface PlatformOptions {
    readonly recorder: Recorder;
    /** Zones of the workers, one entry for each worker. */
    readonly zones: readonly string[];
    /** Kinds of the workers. Default: all of kind `a`. */
    readonly kinds?: readonly string[];
    /** Tasks that a worker runs at a time; each task needs 1,000 millicores and 100 MB. */
    readonly places: number;
    readonly longestLease: number;
    readonly stopTime: number;
}

/** Milliseconds between the heartbeats of a worker; its entry is removed after three of them without one. */
export const heartbeatInterval = 1_100;
const missedHeartbeats = 3;
const taskCpu = 1_000;
const memory = 64_000;

type Condition = "connected" | "cut" | "refusing" | "down" | "left";

/** Starts the store and all workers. */
export const startPlatform = async (options: PlatformOptions): Promise<Platform> => {
    const { recorder, zones, places, longestLease, stopTime } = options;
    const store = createStore();
    const storeIp = "127.0.20.1";
    const [storePort = 0] = await findFreePorts(storeIp, 1);
    const storeServer = await serveJson({ address: storeIp, port: storePort, handle: store.handle });
    const events: (WorkerEvent & { readonly at: number; })[] = [];
    const timers = new Set<NodeJS.Timeout>();

    const addWorker = async (zone: string, index: number): Promise<PlatformWorker> => {
        const id = `w${String(index)}`;
        const ip = `127.0.21.${String(index + 1)}`;
        const [port = 0] = await findFreePorts(ip, 1);
        let kind = options.kinds?.[index] ?? "a";
        let condition: Condition = "connected";
        let drainsUntil: number | undefined;
        let sequence = 0;
        let server: Server | undefined;
        let onHealed: () => void = () => undefined;
        let healed = Promise.resolve();
        let expiry: NodeJS.Timeout | undefined;

        const worker = createWorker({
            id,
            places,
            longestLease,
            stopTime,
            onEvent: event => {
                events.push({ ...event, at: recorder.now() });
                recorder.add(id, event.kind, { task: event.task, run: event.run, how: event.how });
            },
        });
        const writeEntry = (): void => {
            sequence += 1;
            store.put("servers", id, {
                service: "desk",
                address: `${ip}:${String(port)}`,
                zone,
                version: "v1",
                slots: places,
                state: drainsUntil === undefined ? "ready" : "draining",
                ...(drainsUntil === undefined
                    ? {}
                    : { remainingMs: Math.max(0, Math.round(drainsUntil - performance.now())) }),
                coldRemainingMs: 0,
                sequence,
                born: worker.bornAt(),
                capacity: { cpu: places * taskCpu, memoryRequestMb: memory, gpu: 0 },
                labels: [kind, `r-${zone}`],
            });
            clearTimeout(expiry);
            expiry = setTimeout(() => {
                recorder.add(id, "entry expired");
                store.put("servers", id, undefined);
            }, missedHeartbeats * heartbeatInterval);
            timers.add(expiry);
        };
        const listen = async (): Promise<void> => {
            server = await serveJson({
                address: ip,
                port,
                handle: call => worker.handle(call),
                whenConnected: () => healed,
            });
        };
        const stopListening = async (): Promise<void> => {
            const closing = server;
            server = undefined;
            if (closing !== undefined) {
                await closeServer(closing);
            }
        };
        await listen();
        writeEntry();
        timers.add(setInterval(() => {
            if (condition === "connected") {
                writeEntry();
            }
        }, heartbeatInterval));
        return {
            id,
            worker,
            cut: () => {
                recorder.add(id, "cut off");
                condition = "cut";
                healed = new Promise(resolve => {
                    onHealed = resolve;
                });
            },
            cutRefusing: async () => {
                recorder.add(id, "cut off, connections refused");
                condition = "refusing";
                await stopListening();
            },
            heal: async () => {
                recorder.add(id, "reachable again", { running: worker.running() });
                if (server === undefined) {
                    await listen();
                }
                condition = "connected";
                onHealed();
                writeEntry();
            },
            crash: async () => {
                recorder.add(id, "crashed");
                condition = "down";
                worker.crash();
                await stopListening();
            },
            restart: async newKind => {
                kind = newKind ?? kind;
                worker.crash();
                recorder.add(id, "started again", { kind, born: worker.bornAt() });
                condition = "connected";
                writeEntry();
                await listen();
            },
            drain: remaining => {
                recorder.add(id, "draining", { remaining });
                drainsUntil = performance.now() + remaining;
                if (condition === "connected") {
                    writeEntry();
                }
            },
            leave: async () => {
                recorder.add(id, "left");
                condition = "left";
                worker.crash();
                await stopListening();
                clearTimeout(expiry);
                store.put("servers", id, undefined);
            },
            hasLeft: () => condition === "left",
        };
    };
    const workers: PlatformWorker[] = [];
    for (const [index, zone] of zones.entries()) {
        workers.push(await addWorker(zone, index));
    }
    return {
        storeAddress: `${storeIp}:${String(storePort)}`,
        store,
        workers,
        events,
        close: async () => {
            timers.forEach(timer => {
                clearTimeout(timer);
            });
            for (const { worker, leave } of workers) {
                worker.crash();
                await leave();
            }
            await closeServer(storeServer);
        },
    };
};
