import type { LoopbackProxy, ProxyMode } from "./loopback-proxy.js";
import type { SoakFleet, SoakHost } from "./soak-fleet.js";

/** The fleet that the faults of a soak act on, and the seeded randomness that they draw from. */
export interface SoakFaultContext {
    readonly fleet: SoakFleet;
    /** Draws a number from 0 (inclusive) to 1 (exclusive). */
    readonly draw: () => number;
    /** Draws an item; undefined if there is none. */
    readonly pick: <Item>(items: readonly Item[]) => Item | undefined;
    /** Runs `action` after this many milliseconds, or at the end of the fault period if that comes first. */
    readonly runAfter: (milliseconds: number, action: () => void) => void;
}

/** Milliseconds from SIGTERM until a process is killed; equals `gracePeriodS` in the hosts' settings. */
const gracePeriod = 6_000;

/** Sets a proxy's mode for at least 300 ms and up to `maxExtraTime` ms longer. */
const disturb = (
    { draw, runAfter }: SoakFaultContext,
    proxy: LoopbackProxy,
    mode: ProxyMode,
    maxExtraTime: number,
): void => {
    proxy.setMode(mode);
    runAfter(300 + draw() * maxExtraTime, () => {
        proxy.setMode("pass");
        // Connections that lost data can't continue; on a real link they would break as well.
        proxy.reset();
    });
};
const pickMode = ({ pick }: SoakFaultContext): ProxyMode => pick<ProxyMode>(["delay", "silence", "one-way"]) ?? "delay";
const kill = ({ draw, runAfter }: SoakFaultContext, host: SoakHost): void => {
    // Resumes the process in case another fault paused it.
    host.signal("SIGCONT");
    host.signal("SIGKILL");
    runAfter(300 + draw() * 2_000, host.start);
};
const pickHost = ({ fleet, pick }: SoakFaultContext): SoakHost | undefined => pick(fleet.hosts);
const terminate = ({ runAfter }: SoakFaultContext, host: SoakHost): void => {
    host.signal("SIGTERM");
    runAfter(gracePeriod, () => {
        host.signal("SIGKILL");
        host.start();
    });
};

/** Faults of a soak by name; the lasting ones are healed after some seconds. */
export const soakFaults: Readonly<Record<string, (context: SoakFaultContext) => void>> = {
    "kill a host": context => {
        const host = pickHost(context);
        if (host !== undefined) {
            kill(context, host);
        }
    },
    "kill all hosts": context => {
        context.fleet.hosts.forEach(host => {
            kill(context, host);
        });
    },
    "stop a host gracefully": context => {
        const host = pickHost(context);
        if (host !== undefined) {
            terminate(context, host);
        }
    },
    "restart all hosts in turn": context => {
        context.fleet.hosts.forEach((host, index) => {
            context.runAfter(index * 700, () => {
                terminate(context, host);
            });
        });
    },
    "pause a host": context => {
        const host = pickHost(context);
        host?.signal("SIGSTOP");
        context.runAfter(500 + context.draw() * 6_000, () => {
            host?.signal("SIGCONT");
        });
    },
    "disturb a host's connections to the store": context => {
        const host = pickHost(context);
        if (host !== undefined) {
            disturb(context, host.storeProxy, pickMode(context), 4_000);
        }
    },
    "disturb all hosts' connections to the store": context => {
        const mode = pickMode(context);
        context.fleet.hosts.forEach(({ storeProxy }) => {
            disturb(context, storeProxy, mode, 3_000);
        });
    },
    "reset all connections": ({ fleet }) => {
        fleet.hosts.forEach(({ storeProxy }) => {
            storeProxy.reset();
        });
        fleet.workerProxies.forEach(proxy => {
            proxy.reset();
        });
    },
    "disturb the connections to a worker": context => {
        const proxy = context.pick([...context.fleet.workerProxies.values()]);
        if (proxy !== undefined) {
            disturb(context, proxy, pickMode(context), 7_000);
        }
    },
    "restart a worker": ({ fleet, pick }) => {
        pick([...fleet.platform.workers.values()])?.restart();
    },
    "write a malformed worker entry": ({ fleet: { platform }, draw }) => {
        platform.store.put("servers", "w-unreadable", draw() < 0.5 ? "text" : { service: 7, address: null, state: {} });
    },
    "compact the store's history": ({ fleet }) => {
        fleet.platform.store.compact();
    },
};
