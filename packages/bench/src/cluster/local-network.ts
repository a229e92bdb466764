import type { CallerRequest, CallerResponse, EntryHost, PeerError, PeerNetwork } from "@jayfront/jayfrontd";
import type { Host } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import { Result } from "true-myth";

/** A process of the cluster as its links see it. */
export interface LocalProcess {
    readonly host: Host;
    readonly entryHost: () => EntryHost | undefined;
    /** Resolves when the process runs; never for one that was killed. */
    readonly waitUntilRunning: () => Promise<void>;
    readonly isKilled: () => boolean;
    /** Resolves when the process is killed. */
    readonly killed: Promise<undefined>;
    readonly isPaused: () => boolean;
}

/** Links between entry hosts inside this process. */
export interface LocalNetwork {
    readonly peerNetworkOf: (self: LocalProcess) => PeerNetwork;
    readonly add: (process: LocalProcess) => void;
    /** Cuts the link between two failure domains, or within one, both ways. */
    readonly cut: (left: string, right: string) => void;
    readonly heal: () => void;
    /** Calls and forwards that were sent. */
    readonly counts: { calls: number; forwards: number; };
    /** Called with the kind of each message that is sent. */
    onMessage: (kind: string, from: string) => void;
}

const latencyWithinDomain = 1;
const latencyBetweenDomains = 3;
const timeout = 1_000;

const pairOf = (left: string, right: string): string => [left, right].sort().join("|");

const aborted = (signal: AbortSignal): Promise<undefined> =>
    new Promise(resolve => {
        signal.addEventListener("abort", () => {
            resolve(undefined);
        });
    });

/** Creates a network without processes. */
export const createLocalNetwork = (): LocalNetwork => {
    const processes = new Map<string, LocalProcess>();
    const cuts = new Set<string>();
    const network: LocalNetwork = {
        counts: { calls: 0, forwards: 0 },
        onMessage: () => undefined,
        add: process => {
            processes.set(process.host.peerAddress, process);
        },
        cut: (left, right) => {
            cuts.add(pairOf(left, right));
        },
        heal: () => {
            cuts.clear();
        },
        peerNetworkOf: self => {
            /** Passes `act` over the link to `host` and back; each end waits while it is paused. */
            const pass = async <Value>(
                host: Host,
                limit: Promise<undefined>,
                act: (entry: EntryHost) => Promise<Value>,
            ): Promise<Result<Value, PeerError>> => {
                await self.waitUntilRunning();
                const target = processes.get(host.peerAddress);
                const isCut = cuts.has(pairOf(self.host.failureDomain, host.failureDomain));
                if (target === undefined || target.isKilled()) {
                    return Result.err({ kind: "not-sent", message: `${host.id} refuses connections` });
                }
                if (isCut) {
                    await limit;
                    return Result.err({ kind: "unknown", message: `${host.id} gave no reply` });
                }
                const isLocal = host.failureDomain === self.host.failureDomain;
                await sleep(isLocal ? latencyWithinDomain : latencyBetweenDomains);
                const answer = target.waitUntilRunning().then(() => {
                    const entry = target.entryHost();
                    return entry === undefined ? undefined : act(entry);
                });
                const value = await Promise.race([answer, target.killed, limit]);
                await self.waitUntilRunning();
                return value === undefined
                    ? Result.err({ kind: "unknown", message: `${host.id} gave no reply` })
                    : Result.ok(value);
            };
            return {
                call: (host, message) => {
                    network.counts.calls += 1;
                    network.onMessage(message.kind, self.host.id);
                    return pass(
                        host,
                        sleep(timeout).then(() => undefined),
                        async entry => (await entry.handlePeer(message)) as never,
                    );
                },
                forward: async (host: Host, request: CallerRequest): Promise<Result<CallerResponse, PeerError>> => {
                    network.counts.forwards += 1;
                    network.onMessage("forward", self.host.id);
                    return pass(host, aborted(request.signal), entry => entry.handleForwarded(request));
                },
            };
        },
    };
    return network;
};
