import type { WorkflowCluster } from "./workflow-cluster.js";

/** A cluster on which faults may overlap: a host has one life at a time, and is cut off until the last fault ends. */
export interface OverlapSafeCluster extends WorkflowCluster {
    /** All hosts, running or not. */
    readonly hostIds: readonly string[];
    readonly isCutOff: (id: string) => boolean;
    /** Cuts a host off from everything, submitters included; what it returns heals that. */
    readonly freeze: (id: string) => () => void;
    /** Resolves once the host is not frozen. */
    readonly waitWhileFrozen: (id: string) => Promise<void>;
    /** Hands a host's cells over, ends it and starts it again `downTime` later. */
    readonly restart: (id: string, downTime: number) => Promise<void>;
}

/** Milliseconds from the request to end until the process is killed. */
const gracePeriod = 2_500;
/** Milliseconds between two looks whether a host is still frozen. */
const thawInterval = 20;

const pause = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** Counts what holds for a host more than once at a time. */
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

/** Guards a cluster against faults that overlap. */
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
                await pause(thawInterval);
            }
        },
        restart: async (id, downTime) => {
            const host = cluster.hosts.get(id);
            if (host === undefined) {
                return;
            }
            await Promise.race([host.drain(), pause(gracePeriod)]);
            if (cluster.hosts.get(id) === host) {
                cluster.kill(id);
                await pause(downTime);
                start(id);
            }
        },
    };
};
