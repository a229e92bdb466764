import type { NetworkCall } from "@jayfront/platform-stand-in";
import { isWriteCall } from "@jayfront/platform-stand-in";

import type { FaultContext } from "./fault-context.js";

const toStore = (play: FaultContext, call: NetworkCall): boolean => call.address === play.cluster.platform.storeAddress;

/** Faults of all random days by name; each heals after a few seconds. */
export const randomFaults: Record<string, (play: FaultContext) => void> = {
    "kill a host": ({ cluster, pick, runAfter: later, draw }) => {
        const host = pick([...cluster.hosts.keys()]) ?? "";
        cluster.kill(host);
        later(300 + draw() * 3_000, () => {
            cluster.start(host);
        });
    },
    "kill all hosts": ({ cluster, runAfter: later }) => {
        const hosts = [...cluster.hosts.keys()];
        hosts.forEach(cluster.kill);
        later(1_000, () => {
            hosts.forEach(cluster.start);
        });
    },
    "cut a host off": ({ cluster, pick, runAfter: later, draw }) => {
        later(draw() * 6_000, cluster.isolate(pick([...cluster.hosts.keys()]) ?? ""));
    },
    "start a worker anew": ({ cluster, pick }) => {
        pick([...cluster.platform.workers.values()])?.restart();
    },
    "cut a worker off": ({ cluster, pick, runAfter: later, draw }) => {
        const address = cluster.platform.addressOf(pick([...cluster.platform.workers.keys()]) ?? "");
        later(
            draw() * 9_000,
            cluster.platform.network.addFault({ matches: (...[, call]) => call.address === address, action: "cut" }),
        );
    },
    "carry orders out late": play => {
        const { cluster, draw, runAfter: later } = play;
        later(
            3_000,
            cluster.platform.network.addFault({
                matches: (...[, call]) => !toStore(play, call) && draw() < 0.2,
                action: "late",
                delay: 2_000 + draw() * 10_000,
            }),
        );
    },
    "lose answers of workers": play => {
        const { cluster, draw, runAfter: later } = play;
        later(
            3_000,
            cluster.platform.network.addFault({
                matches: (...[, call]) => !toStore(play, call) && draw() < 0.2,
                action: "lose-answer",
            }),
        );
    },
    "silence the store": play => {
        const { cluster, draw, runAfter: later } = play;
        later(
            draw() * 5_000,
            cluster.platform.network.addFault({ matches: (...[, call]) => toStore(play, call), action: "cut" }),
        );
    },
    "turn some hosts away from the store": play => {
        const { cluster, draw, runAfter: later } = play;
        const turned = new Set([...cluster.hosts.keys()].filter(() => draw() < 0.5));
        later(
            draw() * 6_000,
            cluster.platform.network.addFault({
                matches: (from, call) => turned.has(from) && toStore(play, call),
                action: "refuse",
            }),
        );
    },
    "write late": play => {
        const { cluster, draw, runAfter: later } = play;
        later(
            3_000,
            cluster.platform.network.addFault({
                matches: (...[, call]) => isWriteCall(call) && draw() < 0.35,
                action: "late",
                delay: 1_000 + draw() * 5_000,
            }),
        );
    },
    "forget the store's history": ({ cluster }) => {
        cluster.platform.store.compact();
    },
};
