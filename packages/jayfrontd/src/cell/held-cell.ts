import type { Platform, WorkerStatus } from "@jayfront/platform";
import type { TailModels } from "@jayfront/policy";
import { createCellScheduler, createTailGuard } from "@jayfront/policy";
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
import { runTailReviews } from "./run-tail-reviews.js";

/** A cell that this host holds, or takes care of while the store is away. */
export interface HeldCell {
    readonly cell: CellId;
    readonly epoch: number;
    readonly role: "holder" | "caretaker";
    readonly dispatcher: RequestDispatcher;
    readonly counts: () => { workers: number; pending: number; running: number; };
    /** Takes workers in that the live list shows for this cell. */
    readonly syncWorkers: () => void;
    /** Reads chunks and orders soon. */
    readonly requestReload: () => void;
    /** Stops starting tasks and writes all outcomes, so that another host can take the cell. */
    readonly prepareHandover: () => Promise<void>;
    /** Goes on after a handover that did not come about. */
    readonly resume: () => void;
    readonly isStopped: () => boolean;
    /** Ends the holding. Tasks go on under their leases; requests in flight go on to their ends. */
    readonly stop: () => void;
    readonly explain: (job: JobId) => readonly string[];
    /** Whether every worker of the roster obeys this epoch or is proven gone. */
    readonly isFenced: () => boolean;
}

/** Options of {@link createHeldCell}. */
export interface HeldCellOptions {
    readonly cell: CellId;
    readonly epoch: number;
    /** The row as taken; undefined for a caretaker. */
    readonly row: VersionedCellRow | undefined;
    /** Host and incarnation. */
    readonly holder: string;
    readonly platform: Platform;
    readonly timing: Settings["timing"];
    readonly document: () => EnvironmentDocument;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly random: RandomGenerator;
    /** What this host has learned of services beside batch tasks. */
    readonly models: TailModels;
    /** Workers that the live list shows for this cell. */
    readonly listWorkers: () => readonly Worker[];
    readonly unlistedSince: (worker: WorkerId) => number | undefined;
    /** Called once when another host turns out to have the cell. */
    readonly onLost: (reason: string, newerEpoch: number | undefined) => void;
    /** Planted fault: tasks start once any worker is adopted. Default false. */
    readonly startsAfterFirstAdoption?: boolean;
}

/** Starts to hold a cell: adopts its workers, serves requests on each as soon as it is adopted, and runs its chunks. */
export const createHeldCell = (options: HeldCellOptions): HeldCell => {
    const { cell, epoch, platform, timing, logger, random } = options;
    const stop = createStopSignal();
    const { signal } = stop;
    const guard = createTailGuard({
        document: options.document,
        models: options.models,
        evictionsOf: task => runner.evictionsOf(task),
        slackOf: task => runner.slackOf(task),
        teamFactor: team => scheduler.teamFactor(team),
    });
    const scheduler = createCellScheduler({
        document: options.document,
        random,
        score: guard.score,
        canEverPlace: guard.accepts,
        tailRoom: guard.tailRoom,
    });
    const workers = new Map<WorkerId, HeldWorker>();
    const gone = new Set<WorkerId>();
    const startWanted = createWakeUp();
    const chunksWanted = createWakeUp();
    let isPaused = false;
    let evidenceLost = false;
    let isLost = false;

    const lose = (reason: string, newerEpoch?: number): void => {
        if (!isLost && !signal.aborted) {
            isLost = true;
            end();
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
        loseCell: lose,
    };
    const isFenced = (): boolean => {
        const roster = currentRow()?.row.roster ?? [];
        const isObedient = (entry: RosterEntry): boolean =>
            workers.get(entry.worker)?.wasAdopted === true || gone.has(entry.worker);
        return options.startsAfterFirstAdoption === true
            ? roster.length === 0 || roster.some(isObedient)
            : roster.every(isObedient);
    };
    const desk = createRequestDispatcher(context);
    const requestWrite = (): void => {
        writer?.requestWrite();
    };
    const runner = createChunkRunner({
        context,
        mayStart: () => !isPaused && options.row !== undefined && isFenced(),
        hasLostTaskHistory: () => evidenceLost,
        requestWrite,
    });
    const end = (): void => {
        stop.abort();
        desk.close();
    };

    /**
     * Roster as it should stand in the row: every adopted worker with its incarnation, and those not proven gone.
     * What the row says of lost workers is evidence for the next holder until all chunks have taken it into account.
     */
    const wantedRoster = (): readonly RosterEntry[] => {
        const listed = currentRow()?.row.roster ?? [];
        const isEvidenceUsed = runner.isActivated();
        const kept = listed.filter(entry => !isEvidenceUsed || !gone.has(entry.worker));
        const adopted = [...workers.values()].flatMap(held =>
            held.incarnation === undefined ? [] : [{ worker: held.worker.id, incarnation: held.incarnation }]
        );
        const inOrder = isEvidenceUsed ? [...kept, ...adopted] : [...adopted, ...kept];
        const byId = new Map(inOrder.map(entry => [entry.worker, entry]));
        return [...byId.values()].sort((left, right) => left.worker < right.worker ? -1 : 1);
    };
    const isInRoster = (held: HeldWorker): boolean =>
        currentRow()?.row.roster.some(entry =>
            entry.worker === held.worker.id && entry.incarnation === held.incarnation
        )
            === true;
    const refreshUsable = (held: HeldWorker): void => {
        const isUsable = held.isReachable && !held.needsAdoption && !held.isLeaving && isInRoster(held);
        scheduler.setUsable(held.worker.id, isUsable);
    };
    const noteIncarnation = (held: HeldWorker, incarnation: string): void => {
        const listed = currentRow()?.row.roster.find(entry => entry.worker === held.worker.id);
        const known = held.incarnation ?? listed?.incarnation;
        if (known !== undefined && known !== incarnation) {
            // The worker has restarted: what it ran and had not told is lost.
            evidenceLost = true;
            runner.onWorkerLost(held);
        }
        held.incarnation = incarnation;
        if (!isInRoster(held)) {
            requestWrite();
        }
    };
    /** A caretaker leaves ends to the next holder, whose adoptions bring them all. */
    const noteEnded = (held: HeldWorker, ended: readonly EndedTask[]): void => {
        if (options.row !== undefined) {
            runner.onEnded(held, ended);
        }
    };
    const onInventory = (held: HeldWorker, inventory: Inventory): void => {
        // The live list may be late to show it.
        held.isLeaving ||= inventory.state === "leaving";
        noteIncarnation(held, inventory.incarnation);
        for (; held.unsettledRequests > 0; held.unsettledRequests -= 1) {
            held.account.endRequest();
        }
        held.account.setForeignRequests(inventory.foreignRequests);
        noteEnded(held, inventory.ended);
        runner.onRunning(held, inventory.running, performance.now());
        runner.onAdopted(held);
        refreshUsable(held);
        runner.activate();
        startWanted.notify();
        desk.admitWaiting();
    };
    const onStatus = (held: HeldWorker, status: WorkerStatus, sentAt: number): void => {
        held.account.setForeignRequests(status.foreignRequests);
        held.isLeaving = status.state === "leaving" || held.worker.state === "leaving";
        noteEnded(held, status.ended);
        runner.onRunning(held, status.running, sentAt);
        refreshUsable(held);
        if (status.ended.length > 0) {
            startWanted.notify();
        }
        desk.admitWaiting();
    };
    const onGone = (held: HeldWorker): void => {
        logger.warn({ cell, worker: held.worker.id }, "a worker is proven gone");
        gone.add(held.worker.id);
        evidenceLost = true;
        runner.onWorkerLost(held);
        scheduler.removeWorker(held.worker.id);
        workers.delete(held.worker.id);
        runner.activate();
        requestWrite();
    };
    const adoptWorker = (worker: Worker): void => {
        gone.delete(worker.id);
        const held: HeldWorker = {
            account: scheduler.putWorker(worker),
            worker,
            fence: { epoch, term: 1 },
            wasAdopted: false,
            isReachable: true,
            needsAdoption: true,
            isLeaving: worker.state === "leaving",
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
                onUnreachable: lostSight => {
                    refreshUsable(lostSight);
                },
                onDisplaced: newer => {
                    lose(`worker ${worker.id} obeys epoch ${String(newer)}`, newer);
                },
            },
        });
    };
    /** Roster workers that the live list never showed to this host can't be reached, only proven gone. */
    const checkAbsent = (): void => {
        for (const { worker } of currentRow()?.row.roster ?? []) {
            const since = workers.has(worker) || gone.has(worker) ? undefined : options.unlistedSince(worker);
            if (since !== undefined && performance.now() - since >= timing.taskLease + timing.renewal) {
                gone.add(worker);
                evidenceLost = true;
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
            if (worker.state === "leaving" && !held.isLeaving) {
                held.isLeaving = true;
                refreshUsable(held);
            }
        }
        checkAbsent();
    };

    const runChunks = async (): Promise<void> => {
        while (!signal.aborted) {
            const isLoaded = await runner.load();
            runner.activate();
            startWanted.notify();
            await chunksWanted.wait(jitter(random, isLoaded ? timing.chunkPoll : timing.renewal), signal);
        }
    };
    const runStarts = async (): Promise<void> => {
        while (!signal.aborted) {
            await startWanted.wait(timing.startInterval * 5, signal);
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
        desiredRoster: wantedRoster,
        onRosterWritten: () => {
            workers.forEach(refreshUsable);
            startWanted.notify();
        },
        random,
    });
    const currentRow = (): VersionedCellRow | undefined => writer?.row();
    syncWorkers();
    if (writer !== undefined) {
        void runTailReviews(context);
        void writer.run();
        void runChunks();
        void runStarts();
    }
    return {
        cell,
        epoch,
        role: options.row === undefined ? "caretaker" : "holder",
        dispatcher: desk,
        isFenced,
        counts: () => ({
            workers: [...workers.values()].filter(held => held.wasAdopted && held.isReachable).length,
            pending: scheduler.pendingCount(),
            running: [...workers.values()].reduce((sum, held) => sum + held.account.tasks.size, 0),
        }),
        syncWorkers,
        requestReload: chunksWanted.notify,
        prepareHandover: async () => {
            isPaused = true;
            // A start in flight is settled by its reply or by the next holder's adoption.
            await writer?.writeNow();
        },
        resume: () => {
            isPaused = false;
        },
        isStopped: () => signal.aborted,
        stop: end,
        explain: runner.explain,
    };
};
