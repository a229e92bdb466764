import type { LoopbackProxy, ProxyMode } from "./loopback-proxy.js";
import type { SoakFleet, SoakHost } from "./soak-fleet.js";

/** What faults of a soak act on, and the randomness that they draw from. */
export interface SoakFaultContext {
    readonly fleet: SoakFleet;
    /** From 0 up to but without 1. */
    readonly draw: () => number;
    readonly pick: <Item>(items: readonly Item[]) => Item | undefined;
    /** Runs `action` after so many milliseconds, at the end of the faults at the latest. */
    readonly runAfter: (milliseconds: number, action: () => void) => void;
}

/** Milliseconds from the request to end until a process is killed; as the hosts' settings have it. */
const gracePeriod = 6_000;

const disturb = (
    { draw, runAfter: later }: SoakFaultContext,
    proxy: LoopbackProxy,
    mode: ProxyMode,
    longest: number,
): void => {
    proxy.setMode(mode);
    later(300 + draw() * longest, () => {
        proxy.setMode("pass");
        // What was swallowed leaves both ends out of step; real links lose such connections too.
        proxy.reset();
    });
};
const pickMode = ({ pick }: SoakFaultContext): ProxyMode => pick<ProxyMode>(["delay", "silence", "one-way"]) ?? "delay";
const kill = ({ draw, runAfter: later }: SoakFaultContext, host: SoakHost): void => {
    // A stopped process can't be told anything.
    host.signal("SIGCONT");
    host.signal("SIGKILL");
    later(300 + draw() * 2_000, host.start);
};
const pickHost = ({ fleet, pick }: SoakFaultContext): SoakHost | undefined => pick(fleet.hosts);
const terminate = ({ runAfter: later }: SoakFaultContext, host: SoakHost): void => {
    host.signal("SIGTERM");
    later(gracePeriod, () => {
        host.signal("SIGKILL");
        host.start();
    });
};

/** Faults of a soak by name; each heals after some seconds. */
export const soakFaults: Readonly<Record<string, (play: SoakFaultContext) => void>> = {
    "kill a host": play => {
        const host = pickHost(play);
        if (host !== undefined) {
            kill(play, host);
        }
    },
    "kill all hosts": play => {
        play.fleet.hosts.forEach(host => {
            kill(play, host);
        });
    },
    "stop a host gracefully": play => {
        const host = pickHost(play);
        if (host !== undefined) {
            terminate(play, host);
        }
    },
    "restart all hosts in turn": play => {
        play.fleet.hosts.forEach((host, index) => {
            play.runAfter(index * 700, () => {
                terminate(play, host);
            });
        });
    },
    "pause a host": play => {
        const host = pickHost(play);
        host?.signal("SIGSTOP");
        play.runAfter(500 + play.draw() * 6_000, () => {
            host?.signal("SIGCONT");
        });
    },
    "disturb a host's way to the store": play => {
        const host = pickHost(play);
        if (host !== undefined) {
            disturb(play, host.storeProxy, pickMode(play), 4_000);
        }
    },
    "disturb all hosts' ways to the store": play => {
        const mode = pickMode(play);
        play.fleet.hosts.forEach(({ storeProxy: store }) => {
            disturb(play, store, mode, 3_000);
        });
    },
    "reset all connections": ({ fleet }) => {
        fleet.hosts.forEach(({ storeProxy: store }) => {
            store.reset();
        });
        fleet.workerProxies.forEach(proxy => {
            proxy.reset();
        });
    },
    "disturb the way to a worker": play => {
        const proxy = play.pick([...play.fleet.workerProxies.values()]);
        if (proxy !== undefined) {
            disturb(play, proxy, pickMode(play), 7_000);
        }
    },
    "start a worker anew": ({ fleet, pick }) => {
        pick([...fleet.platform.workers.values()])?.restart();
    },
    "write an unreadable entry": ({ fleet: { platform }, draw }) => {
        platform.store.put("servers", "w-unreadable", draw() < 0.5 ? "text" : { service: 7, address: null, state: {} });
    },
    "forget the store's history": ({ fleet }) => {
        fleet.platform.store.compact();
    },
};
