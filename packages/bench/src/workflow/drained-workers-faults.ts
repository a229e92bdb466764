import type { NetworkCall, NetworkFault } from "@jayfront/platform-stand-in";

import type { FaultContext } from "./fault-context.js";
import type { OverlapSafeCluster } from "./overlap-safe-cluster.js";

/** Context of the faults beside workers that drain. */
export interface DrainedWorkersFaultContext extends FaultContext {
    readonly cluster: OverlapSafeCluster;
    /** Records that a disturbance begins; the returned function ends it. */
    readonly beginDisturbance: () => () => void;
    /** Workers that have begun to drain. */
    readonly draining: Set<string>;
    /** Workers on which long-running tasks run. */
    readonly workersOfTasks: () => readonly string[];
}

type Fault = (context: DrainedWorkersFaultContext) => void;

/** Milliseconds after a worker's last heartbeat at which its entry is removed. */
const entryTimeout = 3_300;
/** Milliseconds that a draining worker stays. */
const drainTime = 4_000;

/** Activates a network fault for some milliseconds; delayed calls may be carried out after the disturbance. */
const disturbCalls = (context: DrainedWorkersFaultContext, fault: NetworkFault, duration: number): void => {
    const { cluster, beginDisturbance, runAfter } = context;
    const end = beginDisturbance();
    const heal = cluster.platform.network.addFault(fault);
    runAfter(duration, () => {
        heal();
        end();
    });
};
/** Faults of calls, which have to name the calls that they affect. */
const callFaults = (draw: () => number): readonly Omit<NetworkFault, "matches">[] => [
    { action: "cut" },
    { action: "lose-answer" },
    { action: "late", delay: 2_500 + draw() * 9_000 },
];
const disturbOrders = (
    context: DrainedWorkersFaultContext,
    matches: (call: NetworkCall) => boolean,
): void => {
    const { draw, pick } = context;
    const fault = pick(callFaults(draw));
    if (fault !== undefined) {
        const duration = 500 + draw() * 5_000;
        disturbCalls(context, { ...fault, matches: (...[, call]) => matches(call) }, duration);
    }
};
/** Draws a worker that neither drains nor has crashed. */
const pickOtherWorker = ({ cluster: { platform }, pick, draining }: DrainedWorkersFaultContext): string =>
    pick([...platform.workers.keys()].filter(worker => !draining.has(worker))) ?? "";

/** Lets a worker with a long-running task drain and leave; its address refuses calls from then on, or does not answer. */
export const drainWorker: Fault = ({ cluster: { platform }, draining, workersOfTasks, pick, draw, runAfter }) => {
    const worker = pick(workersOfTasks().filter(id => !draining.has(id)));
    if (worker === undefined) {
        return;
    }
    draining.add(worker);
    const refusesCalls = draw() < 0.5;
    platform.setWorkerState(worker, "draining");
    runAfter(drainTime + draw() * 2_000, () => {
        platform.workers.get(worker)?.kill();
        platform.setWorkerState(worker, undefined);
        if (refusesCalls) {
            platform.network.removeServer(platform.addressOf(worker));
        }
    });
};

/** Faults of orders by name. */
export const orderFaults: Readonly<Record<string, Fault>> = {
    "disturb starts": context => {
        disturbOrders(context, call => call.path === "/api/run-start");
    },
    "disturb all calls to workers": context => {
        disturbOrders(context, call => call.address !== context.cluster.platform.storeAddress);
    },
};

/** Faults of the holder by name. */
export const holderFaults: Readonly<Record<string, Fault>> = {
    "kill the holder": ({ cluster, beginDisturbance }) => {
        beginDisturbance()();
        cluster.kill(cluster.holder() ?? "");
    },
    "start the holder again": ({ cluster, beginDisturbance, draw, runAfter }) => {
        const end = beginDisturbance();
        const host = cluster.holder() ?? "";
        cluster.kill(host);
        runAfter(300 + draw() * 2_000, () => {
            cluster.start(host);
            end();
        });
    },
    "cut the holder off": ({ cluster, beginDisturbance, draw, runAfter }) => {
        const end = beginDisturbance();
        const heal = cluster.isolate(cluster.holder() ?? "");
        runAfter(500 + draw() * 5_000, () => {
            heal();
            end();
        });
    },
};

/** Faults of other workers by name. */
export const workerFaults: Readonly<Record<string, Fault>> = {
    "lose a worker": context => {
        const { cluster: { platform }, beginDisturbance, draining, runAfter } = context;
        const worker = pickOtherWorker(context);
        draining.add(worker);
        beginDisturbance()();
        platform.workers.get(worker)?.kill();
        runAfter(entryTimeout, () => {
            platform.setWorkerState(worker, undefined);
        });
    },
    "crash a worker": context => {
        const { cluster: { platform }, beginDisturbance, draining } = context;
        const worker = pickOtherWorker(context);
        draining.add(worker);
        beginDisturbance()();
        platform.crashWorker(worker);
    },
    "cut a worker off": context => {
        const { cluster: { platform }, draw } = context;
        const address = platform.addressOf(pickOtherWorker(context));
        disturbCalls(
            context,
            { matches: (...[, call]) => call.address === address, action: "cut" },
            500 + draw() * 7_000,
        );
    },
};
