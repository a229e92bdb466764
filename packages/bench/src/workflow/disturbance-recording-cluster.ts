import type { NetworkFault } from "@jayfront/platform-stand-in";

import type { OverlapSafeCluster } from "./overlap-safe-cluster.js";
import type { ServiceObserver } from "./service-observer.js";

/** Wraps a cluster so that whatever disturbs its hosts or its network is recorded. */
export const createDisturbanceRecordingCluster = (
    cluster: OverlapSafeCluster,
    { beginDisturbance }: ServiceObserver,
): OverlapSafeCluster => {
    /** Ends of the disturbances by killed host. */
    const endsOfDowntime = new Map<string, () => void>();
    const record = (begin: () => () => void): () => void => {
        const end = beginDisturbance();
        const heal = begin();
        return () => {
            heal();
            end();
        };
    };
    /** Calls that a fault delays are carried out up to `delay` after it has been healed. */
    const addFault = (fault: NetworkFault): () => void => {
        const end = beginDisturbance();
        const heal = cluster.platform.network.addFault(fault);
        return () => {
            heal();
            setTimeout(end, fault.delay ?? 0);
        };
    };
    return {
        ...cluster,
        platform: { ...cluster.platform, network: { ...cluster.platform.network, addFault } },
        kill: id => {
            if (cluster.hosts.has(id) && !endsOfDowntime.has(id)) {
                endsOfDowntime.set(id, beginDisturbance());
            }
            cluster.kill(id);
        },
        start: id => {
            cluster.start(id);
            endsOfDowntime.get(id)?.();
            endsOfDowntime.delete(id);
        },
        isolate: id => record(() => cluster.isolate(id)),
        isolatePeers: id => record(() => cluster.isolatePeers(id)),
        freeze: id => record(() => cluster.freeze(id)),
        restart: async (id, downTime) => {
            const end = beginDisturbance();
            await cluster.restart(id, downTime);
            end();
        },
    };
};
