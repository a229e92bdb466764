import type { CellId, FailureDomainId } from "@jayfront/world";
import { createStopSignal, rendezvousRank } from "@jayfront/world";
import type { Logger } from "pino";

import type { CellTiming } from "../cell/cell-timing.js";
import type { OtherCells } from "../cell/other-cells.js";
import { createPollBudget } from "../cell/poll-budget.js";
import { rowKeys } from "../cell/row-keys.js";
import { createWorkflowCell } from "../cell/workflow-cell.js";
import { createGuardedGateway } from "../evacuation/create-guarded-gateway.js";
import { createEvacuationWatch, noEvacuations } from "../evacuation/evacuation-watch.js";
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
import type { EvacuationSource } from "../port/evacuation-source.js";
import type { MemoryAllowance } from "../port/memory-allowance.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkerDirectory } from "../port/worker-directory.js";
import type { WorkerGateway } from "../port/worker-gateway.js";
import { createProcessDelay } from "../process/process-delay.js";
import { createAdaptiveTimeoutStore } from "../store/adaptive-timeout-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import { createCellClaims } from "./cell-claims.js";
import { createCellHeartbeats } from "./cell-heartbeats.js";
import { createCellManager } from "./cell-manager.js";
import type { CellPlan } from "./cell-plan.js";
import { readCellPlan } from "./cell-plan.js";
import { createConfigurationWatch } from "./configuration-watch.js";
import { createOtherCells } from "./create-other-cells.js";
import { createEarlyCancellations } from "./early-cancellations.js";
import { hasProcessEnded } from "./has-process-ended.js";
import { neverHeard } from "./holder-probe.js";
import type { WorkflowRouter } from "./workflow-router.js";
import { createWorkflowRouter } from "./workflow-router.js";

/** An entry host that serves workflows, without the sockets that it listens on. */
export interface WorkflowHost {
    /** Serves submitters' requests. */
    readonly router: WorkflowRouter;
    /** The configuration in force; undefined until one has been received. */
    readonly configuration: () => Configuration | undefined;
    /** Whether new requests should be sent to this host. */
    readonly isReady: () => boolean;
    /** Handles a message of an authenticated peer; `onClose` registers a callback for the close of its connection. */
    readonly handlePeer: (message: WorkflowMessage, onClose: (callback: () => void) => void) => Promise<unknown>;
    /** Starts all background work; call once. */
    readonly start: () => void;
    /** Becomes unready and hands over all cells; requests in flight go on. */
    readonly drain: () => Promise<void>;
    /** Stops at once, without handing over cells. */
    readonly stop: () => void;
}

/** Options of {@link createWorkflowHost}. */
export interface WorkflowHostOptions {
    readonly self: EntryHostRecord;
    /** Regions by failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    readonly timing: CellTiming;
    /** See `NearWaitsOptions.farRunFactor`. Default: 1. */
    readonly farRunFactor?: number;
    readonly store: StateStore;
    readonly gateway: WorkerGateway;
    readonly directory: WorkerDirectory;
    readonly configurationSource: ConfigurationSource;
    readonly network: WorkflowNetwork;
    readonly metrics: WorkflowMetrics;
    readonly logger: Logger;
    /** Monotonic time in ms of the store's last answer. */
    readonly storeHeardAt: () => number;
    /**
     * Maximum number of workers of a cell with several failure domains; 0: one cell per domain. Default: as many as the
     * processors of its holder can manage, 200 at most.
     */
    readonly largestCell?: number;
    /** Evacuation of failure domains; absent if the deployment has none. */
    readonly evacuation?: {
        readonly source: EvacuationSource;
        /** Milliseconds from the acknowledgement of a request after which nothing may start in its failure domain. */
        readonly bound: number;
    };
    /** Memory of the workflows that wait for the store. Default: unbounded. */
    readonly waitingMemory?: MemoryAllowance;
    /** Memory of the workflows of all cells that this host holds. Default: unbounded. */
    readonly workflowMemory?: MemoryAllowance;
}

/**
 * Largest cell that has several failure domains, in workers. Large cells are preferred, since work that does not fit into
 * one failure domain of a cell can then run in another one without a change of holder.
 */
const maxCellSize = 200;
/** Workers that a holder can manage per processor core. */
const workersPerProcessor = 148;

/** Multiple of the retention of ended workflows for which ids stay cancelled, as that of their rows. */
const cancellationRetentionFactor = 2;

/** Milliseconds since the store's last answer within which the store counts as reachable without another call. */
const recentStoreContact = 500;

/** Handlers of messages between hosts, by kind. */
type Handlers = {
    [Kind in WorkflowMessageKind]: (
        body: WorkflowMessages[Kind],
        onClose: (callback: () => void) => void,
    ) => Promise<WorkflowReplies[Kind]> | WorkflowReplies[Kind];
};

/** Creates a host that is not started. */
export const createWorkflowHost = (options: WorkflowHostOptions): WorkflowHost => {
    const { self, regions, timing, farRunFactor = 1, directory, metrics, logger, storeHeardAt } = options;
    const largestCell = (processors: number): number =>
        options.largestCell ?? Math.min(maxCellSize, processors * workersPerProcessor);
    const store = createAdaptiveTimeoutStore({ store: options.store, metrics });
    const stop = createStopSignal();
    const processDelay = createProcessDelay();
    const claims = createCellClaims({ lateTime: processDelay.total });
    const pollBudget = createPollBudget();
    const network: WorkflowNetwork = {
        ...options.network,
        call: async (host, kind, body, limits) => {
            const answer = await options.network.call(host, kind, body, limits);
            // A call that was given up early says nothing of the host.
            if (limits === undefined || answer.isOk) {
                registry.recordCall(host.id, answer.isOk);
            }
            return answer;
        },
    };
    let isDraining = false;

    const configurationWatch = createConfigurationWatch({
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
            configurationWatch.handlePeerFound(host);
            heartbeats.sendTo(host);
        },
    });
    const evacuationWatch = options.evacuation === undefined ? undefined : createEvacuationWatch({
        ...options.evacuation,
        isNeeded: () => cellManager.allHeld().length > 0,
        onReopened: domain => {
            cellManager.allHeld().forEach(cell => {
                cell.recordDomainReopened(domain);
            });
        },
        logger,
    });
    const gateway = evacuationWatch === undefined
        ? options.gateway
        : createGuardedGateway(options.gateway, evacuationWatch, metrics);
    let plan: CellPlan | undefined;
    const domainsOf = (cell: CellId): readonly FailureDomainId[] =>
        plan?.cells.find(planned => planned.cell === cell)?.failureDomains ?? [];
    const otherCellsOf = (cell: CellId): OtherCells =>
        createOtherCells({ cell, claims, network, held: id => cellManager.held(id) });
    const earlyCancellations = createEarlyCancellations({
        store,
        retention: timing.retention * cancellationRetentionFactor,
        mayRemove: () => {
            const [first] = plan?.cells ?? [];
            return first !== undefined && cellManager.held(first.cell)?.isActive() === true;
        },
        metrics,
        logger,
    });
    const cellManager = createCellManager({
        self,
        plan: () => plan,
        regions,
        store,
        network,
        registry,
        claims,
        metrics,
        processDelay,
        storeHeardAt,
        logger,
        openCell: (cell, row, takenAt, onLost) =>
            createWorkflowCell({
                cell,
                row,
                takenAt,
                store,
                gateway,
                directory,
                configuration: configurationWatch.current,
                isOwn: worker => domainsOf(cell).includes(worker.failureDomain),
                timing,
                farRunFactor,
                logger,
                metrics,
                processors: self.processors,
                processDelay: processDelay.recent,
                pollBudget,
                waitingMemory: options.waitingMemory,
                workflowMemory: options.workflowMemory,
                onLost,
                otherCells: otherCellsOf(cell),
                evacuations: evacuationWatch ?? noEvacuations,
                hasSuccessor: epoch => cellManager.hasSuccessor(cell, epoch),
                onActive: () => {
                    heartbeats.sendToAll();
                },
                onCapacityKnown: () => {
                    heartbeats.sendToAll();
                },
            }),
        onChange: () => {
            evacuationWatch?.readNow();
            heartbeats.sendToAll();
        },
        onSilentHolder: holder => {
            heartbeats.requestFrom(holder);
        },
    });
    const heartbeats = createCellHeartbeats({
        self,
        network,
        claims,
        peers: registry.peers,
        held: cellManager.allHeld,
        successors: cellManager.successors,
        configurationVersion: () => configurationWatch.current()?.version ?? 0,
        processDelay: processDelay.recent,
    });
    const checkClosedHolder = async (holder: EntryHostRecord): Promise<void> => {
        if (await hasProcessEnded({ network, self, host: holder })) {
            claims.recordEnd(holder);
        }
    };
    /** Incarnations of the peers whose connections have a close callback. */
    const watchedIncarnations = new Set<string>();
    const handlers: Handlers = {
        hello: ({ host }) => {
            registry.addPeer(host);
            heartbeats.sendTo(host);
            return true;
        },
        "cell-heartbeat": ({ host, interval, configurationVersion, cells }, onClose) => {
            if (!watchedIncarnations.has(host.incarnation)) {
                watchedIncarnations.add(host.incarnation);
                onClose(() => {
                    watchedIncarnations.delete(host.incarnation);
                    void checkClosedHolder(host);
                });
            }
            registry.addPeer(host);
            claims.recordHeartbeat(host, cells, interval);
            cellManager.releaseSuperseded(host);
            configurationWatch.recordPeerVersion(host, configurationVersion);
            return true;
        },
        submit: ({ cell, workflow, mayDecline, knownLongRunningCpu }) =>
            cellManager.held(cell)?.submit(workflow, mayDecline, knownLongRunningCpu) ?? { kind: "not-holder" },
        state: ({ cell, id }) => cellManager.held(cell)?.state(id) ?? "not-holder",
        cancel: ({ cell, id }) => cellManager.held(cell)?.cancel(id) ?? "not-holder",
        "cell-load": ({ cell }) => cellManager.held(cell)?.load(),
        "transfer-room": ({ cell, request }) => cellManager.held(cell)?.offerRoom(request) ?? 0,
        "transfers-changed": ({ cell }) => {
            cellManager.held(cell)?.readTransfers();
            return true;
        },
        "tasks-returned": ({ cell, id, from }) => {
            cellManager.held(cell)?.readReturns(id, from);
            return true;
        },
        "take-over": ({ cell, epoch }) => cellManager.acceptOffer(cell, epoch),
        "holder-heard": ({ cell, epoch }) => {
            const claim = claims.last(cell);
            const isHeard = claim !== undefined && claim.summary.epoch >= epoch;
            return isHeard ? claims.silence(cell) ?? neverHeard : neverHeard;
        },
        "store-contact": async () => {
            if (performance.now() - storeHeardAt() > recentStoreContact) {
                // An idle host seldom calls the store, so its last answer may be old although the store is reachable.
                const key = rowKeys.host(self.id);
                await store.read(key.table, key.partition, key.key);
            }
            // A late host would be late with the cell too.
            return performance.now() - storeHeardAt() + processDelay.recent();
        },
        "configuration-notice": notice => {
            registry.addPeer(notice.host);
            return configurationWatch.handleNotice(notice);
        },
        "configuration-change": configurationWatch.handleChange,
        "configuration-wanted": ({ version }) => configurationWatch.changeSince(version),
    };
    return {
        router: createWorkflowRouter({
            cells: () => plan?.cells.map(planned => planned.cell),
            store,
            network,
            claims,
            held: cellManager.held,
            earlyCancellations,
            origin: self.failureDomain,
            isNear: cell => domainsOf(cell).some(domain => regions[domain] === regions[self.failureDomain]),
            farRunFactor,
            logger,
            metrics,
        }),
        configuration: configurationWatch.current,
        isReady: () => !isDraining && configurationWatch.current() !== undefined && claims.allFresh().length > 0,
        handlePeer: async ({ kind, body }, onClose) => await handlers[kind](body as never, onClose),
        start: () => {
            void configurationWatch.run(stop.signal);
            void registry.run(stop.signal);
            const rank = (): number =>
                rendezvousRank("cell plan", [self.id, ...registry.peers().map(peer => peer.id)]).indexOf(self.id);
            const hosts = (): readonly EntryHostRecord[] => [self, ...registry.peers()];
            const planOptions = { store, directory, regions, hosts, largestCell, rank, logger, signal: stop.signal };
            void readCellPlan(planOptions).then(read => {
                plan = read;
                return cellManager.run(stop.signal);
            });
            void heartbeats.run(stop.signal);
            void earlyCancellations.run(stop.signal);
            void evacuationWatch?.run(stop.signal);
        },
        drain: async () => {
            isDraining = true;
            await cellManager.handOverAll();
        },
        stop: () => {
            stop.abort();
            cellManager.allHeld().forEach(cell => {
                cell.stop();
            });
            network.close();
        },
    };
};
