import type { Platform, WorkerStatus } from "@jayfront/platform";
import type { LatencyModels } from "@jayfront/policy";
import { createCellScheduler, createTailLatencyGuard } from "@jayfront/policy";
import type {
    CellId,
    EndedTask,
    EnvironmentDocument,
    Inventory,
    JobId,
    RosterEntry,
    Worker,
    WorkerId,
} from "@jayfront/world";
import { createStopSignal, createWakeUp, sleep } from "@jayfront/world";
import type { Logger } from "pino";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

import type { Metrics } from "../metrics.js";
import type { Settings } from "../settings.js";
import { jitter } from "../util/jitter.js";
import type { CellContext } from "./cell-context.js";
import type { VersionedCellRow } from "./cell-store.js";
import { createCellWriter } from "./cell-writer.js";
import { createChunkRunner } from "./chunk-runner.js";
import type { HeldWorker } from "./held-worker.js";
import { maintainWorkerLease } from "./maintain-worker-lease.js";
import type { RequestDispatcher } from "./request-dispatcher.js";
import { createRequestDispatcher } from "./request-dispatcher.js";
import { runTailLatencyReviews } from "./run-tail-latency-reviews.js";

/** A cell that this host holds, or serves as its caretaker while the store is unavailable. */
export interface HeldCell {
    readonly cell: CellId;
    readonly epoch: number;
    /** A caretaker serves requests and keeps tasks alive, but starts no task. */
    readonly role: "holder" | "caretaker";
    readonly dispatcher: RequestDispatcher;
    /** Numbers of reachable workers, of tasks that wait, and of tasks that run or are starting. */
    readonly counts: () => { workers: number; pending: number; running: number; };
    /** Applies the live list's entries for the workers of this cell. */
    readonly syncWorkers: () => void;
    /** Requests a read of chunks and orders without waiting for the next poll. */
    readonly requestReload: () => void;
    /** Stops starting tasks and writes all outcomes, so that another host can take the cell over. */
    readonly prepareHandover: () => Promise<void>;
    /** Starts tasks again after a handover that the other host did not accept. */
    readonly resume: () => void;
    readonly isStopped: () => boolean;
    /** Gives the cell up. Tasks continue under their leases, and requests in flight are completed. */
    readonly stop: () => void;
    /** Describes the state of the job's chunks in this cell, one line for each. */
    readonly explain: (job: JobId) => readonly string[];
    /** Whether every worker of the roster has accepted a fence of this epoch or is proven gone. */
    readonly isFenced: () => boolean;
}

/** Options of {@link createHeldCell}. */
export interface HeldCellOptions {
    readonly cell: CellId;
    readonly epoch: number;
    /** The row by which this host took the cell; undefined for a caretaker. */
    readonly row: VersionedCellRow | undefined;
    /** `<host>/<incarnation>`, under which worker leases are taken. */
    readonly holder: string;
    readonly platform: Platform;
    readonly timing: Settings["timing"];
    /** The environment document in force. */
    readonly document: () => EnvironmentDocument;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly random: RandomGenerator;
    /** Models of how batch tasks affect the services' latencies, shared by the cells of this host. */
    readonly models: LatencyModels;
    /** Workers of this cell on the live list. */
    readonly listWorkers: () => readonly Worker[];
    /** Monotonic time in milliseconds since which the worker is missing from the live list; undefined while listed. */
    readonly unlistedSince: (worker: WorkerId) => number | undefined;
    /** Called at most once, when another host is found to hold the cell. */
    readonly onLost: (reason: string, newerEpoch: number | undefined) => void;
    /** Injected fault for tests: tasks start as soon as any worker is adopted. Default false. */
    readonly startsAfterFirstAdoption?: boolean;
}

/** Starts to hold a cell: adopts its workers, serves requests on each adopted worker, and runs the cell's chunks. */
export const createHeldCell = (options: HeldCellOptions): HeldCell => {
    const { cell, epoch, platform, timing, logger, random } = options;
    const stop = createStopSignal();
    const { signal } = stop;
    const guard = createTailLatencyGuard({
        document: options.document,
        models: options.models,
        evictionsOf: task => runner.evictionsOf(task),
        laxityOf: task => runner.laxityOf(task),
        teamLevelFactor: team => scheduler.teamLevelFactor(team),
    });
    const scheduler = createCellScheduler({
        document: options.document,
        random,
        score: guard.score,
        canEverPlace: guard.canEverPlace,
        tailHeadroomShare: guard.tailHeadroomShare,
    });
    const workers = new Map<WorkerId, HeldWorker>();
    const goneWorkers = new Set<WorkerId>();
    const startWakeUp = createWakeUp();
    const chunkPollWakeUp = createWakeUp();
    let isPaused = false;
    let isTaskHistoryLost = false;
    let isLost = false;

    const loseCell = (reason: string, newerEpoch?: number): void => {
        if (!isLost && !signal.aborted) {
            isLost = true;
            stopHolding();
            options.onLost(reason, newerEpoch);
        }
    };
    const context: CellContext = {
        cell,
        epoch,
        platform,
        timing,
        document: options.document,
        scheduler,
        guard,
        workers,
        logger,
        metrics: options.metrics,
        signal,
        loseCell,
    };
    const isFenced = (): boolean => {
        const roster = currentRow()?.row.roster ?? [];
        const isAccountedFor = (entry: RosterEntry): boolean =>
            workers.get(entry.worker)?.wasAdopted === true || goneWorkers.has(entry.worker);
        return options.startsAfterFirstAdoption === true
            ? roster.length === 0 || roster.some(isAccountedFor)
            : roster.every(isAccountedFor);
    };
    const dispatcher = createRequestDispatcher(context);
    const requestWrite = (): void => {
        writer?.requestWrite();
    };
    const runner = createChunkRunner({
        context,
        mayStart: () => !isPaused && options.row !== undefined && isFenced(),
        hasLostTaskHistory: () => isTaskHistoryLost,
        requestWrite,
    });
    const stopHolding = (): void => {
        stop.abort();
        dispatcher.close();
    };

    /**
     * The roster for the row: every adopted worker with its incarnation, and every listed worker not proven gone.
     * Until all chunks are activated, the entries of restarted and gone workers stay as they are: if this holder fails
     * before, the next one could not find out otherwise that these workers may have lost tasks.
     */
    const desiredRoster = (): readonly RosterEntry[] => {
        const listed = currentRow()?.row.roster ?? [];
        const isHistoryApplied = runner.isActivated();
        const kept = listed.filter(entry => !isHistoryApplied || !goneWorkers.has(entry.worker));
        const adopted = [...workers.values()].flatMap(held =>
            held.incarnation === undefined ? [] : [{ worker: held.worker.id, incarnation: held.incarnation }]
        );
        const entries = isHistoryApplied ? [...kept, ...adopted] : [...adopted, ...kept];
        const byId = new Map(entries.map(entry => [entry.worker, entry]));
        return [...byId.values()].sort((left, right) => left.worker < right.worker ? -1 : 1);
    };
    const isInRoster = (held: HeldWorker): boolean =>
        currentRow()?.row.roster.some(entry =>
            entry.worker === held.worker.id && entry.incarnation === held.incarnation
        )
            === true;
    const refreshUsable = (held: HeldWorker): void => {
        const isUsable = held.isReachable && !held.needsAdoption && !held.isDraining && isInRoster(held);
        scheduler.setUsable(held.worker.id, isUsable);
    };
    const applyIncarnation = (held: HeldWorker, incarnation: string): void => {
        const listed = currentRow()?.row.roster.find(entry => entry.worker === held.worker.id);
        const previous = held.incarnation ?? listed?.incarnation;
        if (previous !== undefined && previous !== incarnation) {
            // The worker has restarted and forgotten its running tasks and the ends that it had not reported.
            isTaskHistoryLost = true;
            runner.onWorkerLost(held);
        }
        held.incarnation = incarnation;
        if (!isInRoster(held)) {
            requestWrite();
        }
    };
    /** A caretaker ignores ended tasks: the next holder's adoptions report them all again. */
    const forwardEnded = (held: HeldWorker, ended: readonly EndedTask[]): void => {
        if (options.row !== undefined) {
            runner.onEnded(held, ended);
        }
    };
    const onInventory = (held: HeldWorker, inventory: Inventory): void => {
        // The live list may show later than the inventory that the worker is draining.
        held.isDraining ||= inventory.state === "leaving";
        applyIncarnation(held, inventory.incarnation);
        for (; held.unsettledRequests > 0; held.unsettledRequests -= 1) {
            held.account.endRequest();
        }
        held.account.setForeignRequests(inventory.foreignRequests);
        forwardEnded(held, inventory.ended);
        runner.onRunning(held, inventory.running, performance.now());
        runner.onAdopted(held);
        refreshUsable(held);
        runner.activate();
        startWakeUp.notify();
        dispatcher.admitWaiting();
    };
    const onStatus = (held: HeldWorker, status: WorkerStatus, sentAt: number): void => {
        held.account.setForeignRequests(status.foreignRequests);
        held.isDraining = status.state === "leaving" || held.worker.state === "leaving";
        forwardEnded(held, status.ended);
        runner.onRunning(held, status.running, sentAt);
        refreshUsable(held);
        if (status.ended.length > 0) {
            startWakeUp.notify();
        }
        dispatcher.admitWaiting();
    };
    const onGone = (held: HeldWorker): void => {
        logger.warn({ cell, worker: held.worker.id }, "worker is proven gone; its tasks are lost");
        goneWorkers.add(held.worker.id);
        isTaskHistoryLost = true;
        runner.onWorkerLost(held);
        scheduler.removeWorker(held.worker.id);
        workers.delete(held.worker.id);
        runner.activate();
        requestWrite();
    };
    const adoptWorker = (worker: Worker): void => {
        goneWorkers.delete(worker.id);
        const held: HeldWorker = {
            account: scheduler.putWorker(worker),
            worker,
            fence: { epoch, term: 1 },
            wasAdopted: false,
            isReachable: true,
            needsAdoption: true,
            isDraining: worker.state === "leaving",
            incarnation: undefined,
            acknowledged: [],
            endedAfter: 0,
            reportsFrom: 0,
            confirmedAt: new Map(),
            starting: new Set(),
            unsettledRequests: 0,
        };
        workers.set(worker.id, held);
        void maintainWorkerLease({
            held,
            platform,
            timing,
            holder: options.holder,
            signal,
            findListed: id => options.listWorkers().find(listed => listed.id === id),
            unlistedSince: options.unlistedSince,
            events: {
                onInventory,
                onStatus,
                onGone,
                onUnreachable: unreachable => {
                    refreshUsable(unreachable);
                },
                onDisplaced: newer => {
                    loseCell(`worker ${worker.id} has accepted the higher epoch ${String(newer)}`, newer);
                },
            },
        });
    };
    /** Checks roster workers that this host never saw on the live list: it can't reach them, only prove them gone. */
    const checkUnlistedWorkers = (): void => {
        for (const { worker } of currentRow()?.row.roster ?? []) {
            const since = workers.has(worker) || goneWorkers.has(worker) ? undefined : options.unlistedSince(worker);
            if (since !== undefined && performance.now() - since >= timing.taskLease + timing.renewal) {
                goneWorkers.add(worker);
                isTaskHistoryLost = true;
                runner.activate();
                requestWrite();
            }
        }
    };
    const syncWorkers = (): void => {
        for (const worker of options.listWorkers()) {
            const held = workers.get(worker.id);
            if (held === undefined) {
                adoptWorker(worker);
                continue;
            }
            scheduler.putWorker(worker);
            if (worker.state === "leaving" && !held.isDraining) {
                held.isDraining = true;
                refreshUsable(held);
            }
        }
        checkUnlistedWorkers();
    };

    const pollChunks = async (): Promise<void> => {
        while (!signal.aborted) {
            const isLoaded = await runner.load();
            runner.activate();
            startWakeUp.notify();
            await chunkPollWakeUp.wait(jitter(random, isLoaded ? timing.chunkPoll : timing.renewal), signal);
        }
    };
    const runStarts = async (): Promise<void> => {
        while (!signal.aborted) {
            await startWakeUp.wait(timing.startInterval * 5, signal);
            await sleep(timing.startInterval, signal);
            if (!signal.aborted) {
                runner.startTasks();
            }
        }
    };
    const writer = options.row === undefined ? undefined : createCellWriter({
        context,
        initialRow: options.row,
        runner: () => runner,
        desiredRoster,
        onRosterWritten: () => {
            workers.forEach(refreshUsable);
            startWakeUp.notify();
        },
        random,
    });
    const currentRow = (): VersionedCellRow | undefined => writer?.row();
    syncWorkers();
    if (writer !== undefined) {
        void runTailLatencyReviews(context);
        void writer.run();
        void pollChunks();
        void runStarts();
    }
    return {
        cell,
        epoch,
        role: options.row === undefined ? "caretaker" : "holder",
        dispatcher,
        isFenced,
        counts: () => ({
            workers: [...workers.values()].filter(held => held.wasAdopted && held.isReachable).length,
            pending: scheduler.pendingCount(),
            running: [...workers.values()].reduce((sum, held) => sum + held.account.tasks.size, 0),
        }),
        syncWorkers,
        requestReload: chunkPollWakeUp.notify,
        prepareHandover: async () => {
            isPaused = true;
            // A start in flight is resolved by its reply or by the next holder's adoption of the worker.
            await writer?.writeNow();
        },
        resume: () => {
            isPaused = false;
        },
        isStopped: () => signal.aborted,
        stop: stopHolding,
        explain: runner.explain,
    };
};
