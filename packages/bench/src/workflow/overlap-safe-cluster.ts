import type { WorkflowCluster } from "./workflow-cluster.js";

/**
 * A cluster that several faults may disturb at once: a host runs in one incarnation at a time, and stays isolated until
 * the last of the faults that isolate it is healed.
 */
export interface OverlapSafeCluster extends WorkflowCluster {
    /** All hosts, running or not. */
    readonly hostIds: readonly string[];
    /** Whether any fault isolates the host at present. */
    readonly isCutOff: (id: string) => boolean;
    /** Isolates a host from peers, store, workers and submitters; the returned function undoes that. */
    readonly freeze: (id: string) => () => void;
    /** Resolves once no fault freezes the host. */
    readonly waitWhileFrozen: (id: string) => Promise<void>;
    /** Drains a host, kills it, and starts it again after `downTime` milliseconds. */
    readonly restart: (id: string, downTime: number) => Promise<void>;
}

/** Milliseconds that a host has to drain before it is killed. */
const drainTimeout = 2_500;
/** Milliseconds between two checks whether a host is still frozen. */
const frozenCheckInterval = 20;

const pause = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** Counts by host how many faults hold a condition, which applies until all of them have released it. */
const createHoldCounts = (): {
    readonly has: (id: string) => boolean;
    readonly hold: (id: string) => () => void;
} => {
    const counts = new Map<string, number>();
    return {
        has: id => (counts.get(id) ?? 0) > 0,
        hold: id => {
            counts.set(id, (counts.get(id) ?? 0) + 1);
            return () => {
                counts.set(id, (counts.get(id) ?? 0) - 1);
            };
        },
    };
};

/** Wraps a cluster so that overlapping faults on one host don't undo each other. */
export const createOverlapSafeCluster = (cluster: WorkflowCluster): OverlapSafeCluster => {
    const cutOff = createHoldCounts();
    const frozen = createHoldCounts();
    const heals = new Map<string, () => void>();

    const start = (id: string): void => {
        if (!cluster.hosts.has(id)) {
            cluster.start(id);
        }
    };
    const isolate = (id: string): () => void => {
        const release = cutOff.hold(id);
        if (!heals.has(id)) {
            heals.set(id, cluster.isolate(id));
        }
        return () => {
            release();
            if (!cutOff.has(id)) {
                heals.get(id)?.();
                heals.delete(id);
            }
        };
    };
    return {
        ...cluster,
        hostIds: [...cluster.hosts.keys()],
        start,
        isolate,
        isCutOff: cutOff.has,
        freeze: id => {
            const release = frozen.hold(id);
            const heal = isolate(id);
            return () => {
                heal();
                release();
            };
        },
        waitWhileFrozen: async id => {
            while (frozen.has(id)) {
                await pause(frozenCheckInterval);
            }
        },
        restart: async (id, downTime) => {
            const host = cluster.hosts.get(id);
            if (host === undefined) {
                return;
            }
            await Promise.race([host.drain(), pause(drainTimeout)]);
            if (cluster.hosts.get(id) === host) {
                cluster.kill(id);
                await pause(downTime);
                start(id);
            }
        },
    };
};
