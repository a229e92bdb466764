import type { NetworkCall } from "@jayfront/platform-stand-in";
import { isWriteCall } from "@jayfront/platform-stand-in";

import type { FaultContext } from "./fault-context.js";

const isStoreCall = (context: FaultContext, call: NetworkCall): boolean =>
    call.address === context.cluster.platform.storeAddress;

/** Faults of every random day by name; the lasting ones are healed after some seconds. */
export const randomFaults: Record<string, (context: FaultContext) => void> = {
    "kill a host": ({ cluster, pick, runAfter, draw }) => {
        const host = pick([...cluster.hosts.keys()]);
        if (host === undefined) {
            // All hosts are down already.
            return;
        }
        cluster.kill(host);
        runAfter(300 + draw() * 3_000, () => {
            cluster.start(host);
        });
    },
    "kill all hosts": ({ cluster, runAfter }) => {
        const hosts = [...cluster.hosts.keys()];
        hosts.forEach(cluster.kill);
        runAfter(1_000, () => {
            hosts.forEach(cluster.start);
        });
    },
    "cut a host off": ({ cluster, pick, runAfter, draw }) => {
        runAfter(draw() * 6_000, cluster.isolate(pick([...cluster.hosts.keys()]) ?? ""));
    },
    "restart a worker": ({ cluster, pick }) => {
        pick([...cluster.platform.workers.values()])?.restart();
    },
    "cut a worker off": ({ cluster, pick, runAfter, draw }) => {
        const address = cluster.platform.addressOf(pick([...cluster.platform.workers.keys()]) ?? "");
        runAfter(
            draw() * 9_000,
            cluster.platform.network.addFault({ matches: (...[, call]) => call.address === address, action: "cut" }),
        );
    },
    "execute orders late": context => {
        const { cluster, draw, runAfter } = context;
        runAfter(
            3_000,
            cluster.platform.network.addFault({
                matches: (...[, call]) => !isStoreCall(context, call) && draw() < 0.2,
                action: "late",
                delay: 2_000 + draw() * 10_000,
            }),
        );
    },
    "lose answers of workers": context => {
        const { cluster, draw, runAfter } = context;
        runAfter(
            3_000,
            cluster.platform.network.addFault({
                matches: (...[, call]) => !isStoreCall(context, call) && draw() < 0.2,
                action: "lose-answer",
            }),
        );
    },
    "cut the store off": context => {
        const { cluster, draw, runAfter } = context;
        runAfter(
            draw() * 5_000,
            cluster.platform.network.addFault({ matches: (...[, call]) => isStoreCall(context, call), action: "cut" }),
        );
    },
    "refuse some hosts at the store": context => {
        const { cluster, draw, runAfter } = context;
        const refusedHosts = new Set([...cluster.hosts.keys()].filter(() => draw() < 0.5));
        runAfter(
            draw() * 6_000,
            cluster.platform.network.addFault({
                matches: (from, call) => refusedHosts.has(from) && isStoreCall(context, call),
                action: "refuse",
            }),
        );
    },
    "execute writes late": context => {
        const { cluster, draw, runAfter } = context;
        runAfter(
            3_000,
            cluster.platform.network.addFault({
                matches: (...[, call]) => isWriteCall(call) && draw() < 0.35,
                action: "late",
                delay: 1_000 + draw() * 5_000,
            }),
        );
    },
    "compact the store's history": ({ cluster }) => {
        cluster.platform.store.compact();
    },
};
