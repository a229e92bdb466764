import type { CallerRequest, CallerResponse, EntryHost, PeerError, PeerNetwork } from "@jayfront/jayfrontd";
import type { Host } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import { Result } from "true-myth";

/** The state of a simulated process that decides what passes over its links. */
export interface LocalProcess {
    readonly host: Host;
    /** Undefined once the process is killed or drained. */
    readonly entryHost: () => EntryHost | undefined;
    /** Resolves once the process is not paused; never resolves if it was killed. */
    readonly waitUntilRunning: () => Promise<void>;
    /** Whether the process was killed or drained. */
    readonly isKilled: () => boolean;
    /** Resolves when the process is killed. */
    readonly killed: Promise<undefined>;
    readonly isPaused: () => boolean;
}

/** Simulated links between entry hosts inside this process. */
export interface LocalNetwork {
    /** The network as the process `sender` uses it. */
    readonly peerNetworkOf: (sender: LocalProcess) => PeerNetwork;
    readonly add: (process: LocalProcess) => void;
    /** Cuts the link between two failure domains, or within one, both ways. */
    readonly cut: (left: string, right: string) => void;
    /** Restores all links. */
    readonly heal: () => void;
    /** Numbers of control messages (`calls`) and forwarded requests (`forwards`) that were sent. */
    readonly counts: { calls: number; forwards: number; };
    /** Called for each message that is sent, with its kind (`forward` for a forwarded request) and the sender's id. */
    onMessage: (kind: string, from: string) => void;
}

const latencyWithinDomainMs = 1;
const latencyBetweenDomainsMs = 3;
const callTimeoutMs = 1_000;

const pairOf = (left: string, right: string): string => [left, right].sort().join("|");

const waitForAbort = (signal: AbortSignal): Promise<undefined> =>
    new Promise(resolve => {
        signal.addEventListener("abort", () => {
            resolve(undefined);
        });
    });

/** Creates a network without processes and without cut links. */
export const createLocalNetwork = (): LocalNetwork => {
    const processes = new Map<string, LocalProcess>();
    const cutPairs = new Set<string>();
    const network: LocalNetwork = {
        counts: { calls: 0, forwards: 0 },
        onMessage: () => undefined,
        add: process => {
            processes.set(process.host.peerAddress, process);
        },
        cut: (left, right) => {
            cutPairs.add(pairOf(left, right));
        },
        heal: () => {
            cutPairs.clear();
        },
        peerNetworkOf: sender => {
            /**
             * Runs `handle` on the entry host of `host`, with the latency of the link. Paused senders and receivers
             * delay the message; a cut link loses it, so that the call ends with `timedOut`.
             */
            const sendOverLink = async <Value>(
                host: Host,
                timedOut: Promise<undefined>,
                handle: (entryHost: EntryHost) => Promise<Value>,
            ): Promise<Result<Value, PeerError>> => {
                await sender.waitUntilRunning();
                const target = processes.get(host.peerAddress);
                const isCut = cutPairs.has(pairOf(sender.host.failureDomain, host.failureDomain));
                if (target === undefined || target.isKilled()) {
                    return Result.err({ kind: "not-sent", message: `${host.id} refuses connections` });
                }
                if (isCut) {
                    await timedOut;
                    return Result.err({ kind: "unknown", message: `${host.id} gave no reply` });
                }
                const isLocal = host.failureDomain === sender.host.failureDomain;
                await sleep(isLocal ? latencyWithinDomainMs : latencyBetweenDomainsMs);
                const reply = target.waitUntilRunning().then(() => {
                    const entryHost = target.entryHost();
                    return entryHost === undefined ? undefined : handle(entryHost);
                });
                const value = await Promise.race([reply, target.killed, timedOut]);
                await sender.waitUntilRunning();
                return value === undefined
                    ? Result.err({ kind: "unknown", message: `${host.id} gave no reply` })
                    : Result.ok(value);
            };
            return {
                call: (host, message) => {
                    network.counts.calls += 1;
                    network.onMessage(message.kind, sender.host.id);
                    return sendOverLink(
                        host,
                        sleep(callTimeoutMs).then(() => undefined),
                        async entryHost => (await entryHost.handlePeer(message)) as never,
                    );
                },
                forward: async (host: Host, request: CallerRequest): Promise<Result<CallerResponse, PeerError>> => {
                    network.counts.forwards += 1;
                    network.onMessage("forward", sender.host.id);
                    return sendOverLink(
                        host,
                        waitForAbort(request.signal),
                        entryHost => entryHost.handleForwarded(request),
                    );
                },
            };
        },
    };
    return network;
};
