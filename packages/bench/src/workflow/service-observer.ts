import type { ProtocolPlatform } from "@jayfront/platform-stand-in";
import { z } from "zod";

import type { CapacitySample, Disturbance, ServiceHistory } from "./service-history.js";

/** Records the free capacity and the disturbances of a service. */
export interface ServiceObserver {
    readonly history: ServiceHistory;
    /** Records that a disturbance begins; the returned function ends it. */
    readonly beginDisturbance: () => () => void;
    /** Ends the observation. */
    readonly stop: () => void;
}

/** Options of {@link createServiceObserver}. */
export interface ServiceObserverOptions {
    readonly platform: ProtocolPlatform;
    /** Millicores that each task takes. */
    readonly taskCpu: number;
}

/** Milliseconds between two samples. */
const sampleInterval = 100;
/** Milliseconds for which a worker has to be ready before its room counts; its entry has to be read first. */
const settlingTime = 4_000;

const workerEntry = z.object({
    zone: z.string(),
    state: z.enum(["ready", "draining"]),
    born: z.number(),
    capacity: z.object({ cpu: z.number() }),
});
type Entry = z.infer<typeof workerEntry>;

/**
 * Creates an observer that samples the workers until `stop`. A worker that disappears without having drained, or starts
 * anew, is recorded as a disturbance of that moment; one that leaves after it has drained is not.
 */
export const createServiceObserver = ({ platform, taskCpu }: ServiceObserverOptions): ServiceObserver => {
    const capacity: CapacitySample[] = [];
    const disturbances: Disturbance[] = [];
    let known = new Map<string, Entry>();
    /** Monotonic time in ms since which a worker has been ready in its present incarnation. */
    const readySince = new Map<string, number>();

    const readEntries = (): Map<string, Entry> => {
        const entries = new Map<string, Entry>();
        for (const { key, value } of platform.store.rows("servers")) {
            const entry = workerEntry.safeParse(value);
            // An entry outlives its worker until it expires.
            if (entry.success && platform.workers.get(key)?.bornAt() === entry.data.born) {
                entries.set(key, entry.data);
            }
        }
        return entries;
    };
    const placesOn = (id: string, entry: Entry): number => {
        const usedCpu = (platform.workers.get(id)?.running().length ?? 0) * taskCpu;
        return Math.max(0, Math.floor((entry.capacity.cpu - usedCpu) / taskCpu));
    };
    const sample = (): void => {
        const at = performance.now();
        const entries = readEntries();
        for (const [id, { state, born }] of known) {
            const entry = entries.get(id);
            if (entry?.born !== born && state !== "draining") {
                disturbances.push({ from: at - sampleInterval, until: at });
            }
            if (entry?.born !== born || entry.state !== "ready") {
                readySince.delete(id);
            }
        }
        const places = new Map<string, number>();
        for (const [id, entry] of entries) {
            if (entry.state === "ready") {
                const since = readySince.get(id) ?? at;
                readySince.set(id, since);
                const added = at - since >= settlingTime ? placesOn(id, entry) : 0;
                places.set(entry.zone, (places.get(entry.zone) ?? 0) + added);
            }
        }
        capacity.push({ at, places });
        known = entries;
    };
    const timer = setInterval(sample, sampleInterval);
    return {
        history: { capacity, disturbances },
        beginDisturbance: () => {
            const disturbance: Disturbance = { from: performance.now(), until: Infinity };
            disturbances.push(disturbance);
            return () => {
                disturbance.until = performance.now();
            };
        },
        stop: () => {
            clearInterval(timer);
        },
    };
};
