import type { CellId, FailureDomainId } from "@jayfront/world";
import { createStopSignal, rendezvousRank } from "@jayfront/world";
import type { Logger } from "pino";

import type { CellTiming } from "../cell/cell-timing.js";
import { rowKeys } from "../cell/row-keys.js";
import { createWorkflowCell } from "../cell/workflow-cell.js";
import type { Configuration } from "../model/configuration.js";
import type { EntryHostRecord } from "../peer/host-registry.js";
import { createHostRegistry } from "../peer/host-registry.js";
import type {
    WorkflowMessage,
    WorkflowMessageKind,
    WorkflowMessages,
    WorkflowReplies,
} from "../peer/workflow-message.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import type { ConfigurationSource } from "../port/configuration-source.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkerDirectory } from "../port/worker-directory.js";
import type { WorkerGateway } from "../port/worker-gateway.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import { createCellClaims } from "./cell-claims.js";
import { createCellHeartbeats } from "./cell-heartbeats.js";
import { createCellManager } from "./cell-manager.js";
import type { CellPlan } from "./cell-plan.js";
import { readCellPlan } from "./cell-plan.js";
import { createConfigurationWatch } from "./configuration-watch.js";
import { neverHeard } from "./holder-probe.js";
import type { WorkflowRouter } from "./workflow-router.js";
import { createWorkflowRouter } from "./workflow-router.js";

/** An entry host that serves workflows: everything but the sockets. */
export interface WorkflowHost {
    readonly router: WorkflowRouter;
    readonly configuration: () => Configuration | undefined;
    /** Whether new callers should be sent here. */
    readonly isReady: () => boolean;
    /** Answers a peer's message; the peer has been authenticated. */
    readonly handlePeer: (message: WorkflowMessage, onClose: (callback: () => void) => void) => Promise<unknown>;
    readonly start: () => void;
    /** Readiness off, cells handed over; requests in flight go on. */
    readonly drain: () => Promise<void>;
    readonly stop: () => void;
}

/** Options of {@link createWorkflowHost}. */
export interface WorkflowHostOptions {
    readonly self: EntryHostRecord;
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    readonly timing: CellTiming;
    readonly store: StateStore;
    readonly gateway: WorkerGateway;
    readonly directory: WorkerDirectory;
    readonly configurationSource: ConfigurationSource;
    readonly network: WorkflowNetwork;
    readonly metrics: WorkflowMetrics;
    readonly logger: Logger;
    /** Steady ms of the last answer of the store. */
    readonly storeHeardAt: () => number;
    /** Workers that a cell of several failure domains may have; 0 gives each domain its own. Default 200. */
    readonly largestCell?: number;
}

/**
 * Default of {@link WorkflowHostOptions.largestCell}: the processor of one holder carries about this many, and work that
 * finds no room in one failure domain then finds it in another without changing hands.
 */
const defaultLargestCell = 200;

/** Milliseconds since the store's last answer within which a host need not ask it whether it can be reached. */
const recentContact = 500;

type Handlers = {
    [Kind in WorkflowMessageKind]: (
        body: WorkflowMessages[Kind],
        onClose: (callback: () => void) => void,
    ) => Promise<WorkflowReplies[Kind]> | WorkflowReplies[Kind];
};

/** Creates a host that is not started. */
export const createWorkflowHost = (options: WorkflowHostOptions): WorkflowHost => {
    const { self, regions, timing, store, gateway, directory, metrics, logger, storeHeardAt } = options;
    const { largestCell = defaultLargestCell } = options;
    const stop = createStopSignal();
    const claims = createCellClaims();
    const network: WorkflowNetwork = {
        ...options.network,
        call: async (host, kind, body) => {
            const answer = await options.network.call(host, kind, body);
            registry.recordCall(host.id, answer.isOk);
            return answer;
        },
    };
    let isDraining = false;

    const watch = createConfigurationWatch({
        self,
        regions,
        peers: () => registry.peers(),
        source: options.configurationSource,
        network,
        logger,
        onChange: configuration => {
            metrics.configurationVersion.set(configuration.version);
            heartbeats.sendToAll();
        },
    });
    const registry = createHostRegistry({
        self,
        store,
        logger,
        onFound: host => {
            watch.handlePeerFound(host);
            heartbeats.sendTo(host);
        },
    });
    let plan: CellPlan | undefined;
    const domainsOf = (cell: CellId): readonly FailureDomainId[] =>
        plan?.cells.find(planned => planned.cell === cell)?.failureDomains ?? [];
    const keeper = createCellManager({
        self,
        plan: () => plan,
        store,
        network,
        registry,
        claims,
        metrics,
        logger,
        openCell: (cell, row, takenAt, onLost) =>
            createWorkflowCell({
                cell,
                row,
                takenAt,
                store,
                gateway,
                directory,
                configuration: watch.current,
                isOwn: worker => domainsOf(cell).includes(worker.failureDomain),
                timing,
                logger,
                metrics,
                onLost,
                hasSuccessor: epoch => keeper.hasSuccessor(cell, epoch),
                onActive: () => {
                    heartbeats.sendToAll();
                },
            }),
        onChange: () => {
            heartbeats.sendToAll();
        },
        onUnheard: holder => {
            heartbeats.requestFrom(holder);
        },
    });
    const heartbeats = createCellHeartbeats({
        self,
        network,
        claims,
        peers: registry.peers,
        held: keeper.allHeld,
        successors: keeper.successors,
        configurationVersion: () => watch.current()?.version ?? 0,
    });
    /** Peers whose connections are watched, by incarnation. */
    const watched = new Set<string>();
    const handlers: Handlers = {
        hello: ({ host }) => {
            registry.addPeer(host);
            heartbeats.sendTo(host);
            return true;
        },
        "cell-heartbeat": ({ host, interval, configurationVersion, cells }, onClose) => {
            if (!watched.has(host.incarnation)) {
                watched.add(host.incarnation);
                onClose(() => {
                    watched.delete(host.incarnation);
                    claims.recordDisconnect(host);
                });
            }
            registry.addPeer(host);
            claims.recordHeartbeat(host, cells, interval);
            keeper.releaseSuperseded(host);
            watch.recordPeerVersion(host, configurationVersion);
            return true;
        },
        submit: ({ cell, workflow, mayDecline }) =>
            keeper.held(cell)?.submit(workflow, mayDecline) ?? { kind: "not-holder" },
        state: ({ cell, id }) => keeper.held(cell)?.state(id) ?? "not-holder",
        cancel: ({ cell, id }) => keeper.held(cell)?.cancel(id) ?? "not-holder",
        "take-over": ({ cell, epoch }) => keeper.acceptOffer(cell, epoch),
        "holder-heard": ({ cell, epoch }) => {
            const claim = claims.last(cell);
            const isHeard = claim !== undefined && claim.summary.epoch >= epoch;
            return isHeard ? performance.now() - claim.heardAt : neverHeard;
        },
        "store-contact": async () => {
            if (performance.now() - storeHeardAt() > recentContact) {
                // A host at rest seldom calls the store.
                const key = rowKeys.host(self.id);
                await store.read(key.table, key.partition, key.key);
            }
            return performance.now() - storeHeardAt();
        },
        "configuration-notice": notice => {
            registry.addPeer(notice.host);
            return watch.handleNotice(notice);
        },
        "configuration-change": watch.handleChange,
        "configuration-wanted": ({ version }) => watch.changeSince(version),
    };
    return {
        router: createWorkflowRouter({
            cells: () => plan?.cells.map(planned => planned.cell),
            store,
            network,
            claims,
            held: keeper.held,
            isNear: cell => domainsOf(cell).some(domain => regions[domain] === regions[self.failureDomain]),
            logger,
        }),
        configuration: watch.current,
        isReady: () => !isDraining && watch.current() !== undefined && claims.allFresh().length > 0,
        handlePeer: async ({ kind, body }, onClose) => await handlers[kind](body as never, onClose),
        start: () => {
            void watch.run(stop.signal);
            void registry.run(stop.signal);
            const rank = (): number =>
                rendezvousRank("cell plan", [self.id, ...registry.peers().map(peer => peer.id)]).indexOf(self.id);
            const planOptions = { store, directory, regions, largestCell, rank, logger, signal: stop.signal };
            void readCellPlan(planOptions).then(read => {
                plan = read;
                return keeper.run(stop.signal);
            });
            void heartbeats.run(stop.signal);
        },
        drain: async () => {
            isDraining = true;
            await keeper.handOverAll();
        },
        stop: () => {
            stop.abort();
            keeper.allHeld().forEach(cell => {
                cell.stop();
            });
            network.close();
        },
    };
};
