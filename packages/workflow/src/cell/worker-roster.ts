import type { WorkerId } from "@jayfront/world";
import { createStopSignal, createWakeUp } from "@jayfront/world";
import type { Logger } from "pino";

import type { Evacuations } from "../evacuation/evacuation-watch.js";
import type { WorkerEntry } from "../model/worker-entry.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkerDirectory } from "../port/worker-directory.js";
import type { WorkerGateway } from "../port/worker-gateway.js";
import type { CellLease } from "./cell-lease.js";
import type { CellTiming } from "./cell-timing.js";
import { leaseDuration } from "./cell-timing.js";
import type { CellWorker, CellWorkers } from "./cell-workers.js";
import { isListed } from "./cell-workers.js";
import type { LateOrderDetector } from "./late-order-detector.js";
import type { InheritedLeases } from "./lease-expiry.js";
import { noLeases } from "./lease-expiry.js";
import type { LoadedCell } from "./load-cell.js";
import type { PollBudget } from "./poll-budget.js";
import { createResourceAccount } from "./resource-account.js";
import type { RosterEntry } from "./roster-codec.js";
import { rosterCodec } from "./roster-codec.js";
import { rowKeys } from "./row-keys.js";
import type { RunRegistry } from "./run-registry.js";
import type { Run } from "./run.js";
import { createWorkerList } from "./worker-list.js";
import type { SessionEvents, WorkerSession } from "./worker-session.js";
import { createWorkerSession } from "./worker-session.js";

/** The workers of a cell. Follows the platform's directory and stores the roster of workers on which tasks may run. */
export interface WorkerRoster {
    /** Takes over the stored roster; tasks that earlier holders started may still run on its workers. */
    readonly inherit: (loaded: LoadedCell) => void;
    /** Whether tasks of earlier holders may run or have ended on a worker of the roster without this holder knowing. */
    readonly hasUnknownRuns: () => boolean;
    /** Follows the directory until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createWorkerRoster}. */
export interface WorkerRosterOptions {
    /** The workers of the cell; the roster adds and removes them. */
    readonly workers: CellWorkers;
    readonly lease: CellLease;
    readonly store: StateStore;
    readonly directory: WorkerDirectory;
    readonly gateway: WorkerGateway;
    readonly timing: CellTiming;
    readonly logger: Logger;
    readonly runRegistry: RunRegistry;
    readonly events: SessionEvents;
    /** Ends all sessions when it aborts. */
    readonly signal: AbortSignal;
    /** Whether the worker belongs to this cell. */
    readonly isOwn: (worker: WorkerEntry) => boolean;
    /** Whether the runs of one worker may interfere with each other. */
    readonly mayInterfere: (runs: readonly Run[]) => boolean;
    readonly lateOrderDetector: LateOrderDetector;
    /** The leases that earlier holders may have granted to any worker. */
    readonly inheritedLeases: () => InheritedLeases;
    /** See `ProcessDelay.recent`. */
    readonly processDelay: () => number;
    /** Shared by all cells of the host. */
    readonly pollBudget: PollBudget;
    readonly evacuations: Pick<Evacuations, "mayStartIn" | "isEvacuated">;
    /** Called when waiting tasks may have become able to start. */
    readonly onChange: () => void;
}

/** Milliseconds between reads of the directory; two fifths of the time in which tasks must leave a draining worker. */
const directoryInterval = 1_000;
/** Milliseconds between reads of the directory after a worker has restarted, for the labels of its new incarnation. */
const restartReadInterval = 200;
/** Milliseconds after a restart within which the new incarnation writes its entry. */
const entryWriteTime = 2_000;
/** Milliseconds between writes of the roster while workers that answer again wait for one to get new leases. */
const retryInterval = 100;
/** Milliseconds for which the session of a worker is kept that has lapsed and is not listed; it may return. */
const sessionRetention = 600_000;

/** Creates a roster without workers. */
export const createWorkerRoster = (options: WorkerRosterOptions): WorkerRoster => {
    const { workers, lease, store, directory, gateway, timing, logger, runRegistry, events, signal } = options;
    const list = createWorkerList({ store, directory });
    const { isOwn, mayInterfere, lateOrderDetector, inheritedLeases, processDelay, pollBudget, evacuations, onChange } =
        options;
    const { cell, epoch } = lease;
    const wakeUp = createWakeUp();
    /** The entries of the workers on the roster, as they are stored. */
    const storedEntries = new Map<WorkerId, RosterEntry>();
    /** Workers for which the stored roster may tell when their leases expire: they may get no new ones. */
    let boundedWorkers: ReadonlySet<WorkerId> = new Set();
    /**
     * Sessions of workers that have lapsed and are not listed, with the monotonic time in ms at which they were removed. A
     * session knows the tokens that its worker has seen, and the orders that may still reach it.
     */
    const retiredSessions = new Map<WorkerId, { readonly session: WorkerSession; readonly removedAt: number; }>();
    let rosterVersion = 0;
    /** Whether the last write of the roster is known to have succeeded. */
    let isRosterStored = true;

    /** Monotonic time in ms at which a worker last restarted. */
    let restartedAt = -Infinity;
    const readInterval = (): number =>
        performance.now() - restartedAt < entryWriteTime ? restartReadInterval : directoryInterval;

    const sessionEvents: SessionEvents = {
        ...events,
        onRestarted: (session, age) => {
            restartedAt = performance.now();
            wakeUp.notify();
            events.onRestarted(session, age);
        },
        onContactChange: session => {
            if (session.leasedFor() !== undefined || boundedWorkers.has(session.id)) {
                wakeUp.notify();
            }
            events.onContactChange(session);
        },
    };

    /** The leases of a worker on the roster, as of its read. */
    const leasesOf = ({ leasedFor, lateFor }: RosterEntry): () => InheritedLeases => {
        if (leasedFor === undefined) {
            return inheritedLeases;
        }
        const now = performance.now();
        // A deadline for a former incarnation of the worker may last longer than those that holders grant.
        const longer = Math.max(0, leasedFor - leaseDuration(timing) / (1 - timing.clockDrift));
        const until = Math.min(inheritedLeases().until + longer, now + leasedFor);
        const storedLateUntil = Math.max(until, now + (lateFor ?? leasedFor));
        return () => {
            const { until: anyUntil, lateUntil } = inheritedLeases();
            // A deadline that arrives late has no effect if nothing runs there.
            const isIdle = leasedFor === 0 && lateFor === undefined;
            return { until, lateUntil: isIdle ? until : Math.max(storedLateUntil, until + lateUntil - anyUntil) };
        };
    };
    const createSession = (entry: RosterEntry, isNew: boolean): WorkerSession =>
        createWorkerSession({
            entry,
            epoch,
            gateway,
            timing,
            logger,
            events: sessionEvents,
            isBusy: () => runRegistry.ofWorker(entry.id).size > 0,
            mayInterfere: () => mayInterfere([...runRegistry.ofWorker(entry.id)]),
            lateOrderDetector,
            // A worker that is not on the roster can't have a lease of an earlier holder.
            inheritedLeases: isNew ? () => noLeases : leasesOf(entry),
            mayExtendLease: () => !boundedWorkers.has(entry.id),
            processDelay,
            pollBudget,
        });
    const addWorker = (entry: RosterEntry): void => {
        const isNew = !storedEntries.has(entry.id);
        const sessionStop = createStopSignal(signal);
        const session = retiredSessions.get(entry.id)?.session ?? createSession(entry, isNew);
        retiredSessions.delete(entry.id);
        workers.set(entry.id, {
            session,
            resources: createResourceAccount(entry.capacity),
            isOnRoster: !isNew,
            unlistedSince: undefined,
            drainingSince: undefined,
            isDomainOpen: () => evacuations.mayStartIn(session.entry().failureDomain),
            isEvacuated: () => evacuations.isEvacuated(session.entry().failureDomain),
            stop: sessionStop.abort,
        });
        void session.run(sessionStop.signal);
    };
    const dropRetired = (): void => {
        const cutoff = performance.now() - sessionRetention;
        [...retiredSessions].filter(([, { removedAt }]) => removedAt < cutoff).forEach(([id]) => {
            retiredSessions.delete(id);
        });
    };
    const applyDirectory = (entries: readonly WorkerEntry[]): void => {
        dropRetired();
        const listed = new Map(entries.filter(isOwn).map(entry => [entry.id, entry]));
        for (const entry of listed.values()) {
            const existing = workers.get(entry.id);
            if (existing === undefined) {
                addWorker(entry);
            }
            existing?.resources.setCapacity(entry.capacity);
        }
        for (const [id, worker] of workers) {
            const entry = listed.get(id);
            const isGone = entry === undefined && worker.session.contact() === "lapsed"
                && runRegistry.ofWorker(id).size === 0;
            if (isGone) {
                logger.info({ cell, worker: id }, "worker removed");
                worker.stop();
                workers.delete(id);
                retiredSessions.set(id, { session: worker.session, removedAt: performance.now() });
                continue;
            }
            worker.session.setEntry(entry);
            worker.unlistedSince = entry === undefined ? worker.unlistedSince ?? performance.now() : undefined;
            if (entry?.isDraining === false) {
                // Another incarnation under the same id.
                worker.drainingSince = undefined;
            }
            if (entry?.isDraining === true && worker.drainingSince === undefined) {
                worker.drainingSince = performance.now();
                logger.info({ cell, worker: id, remaining: entry.remaining }, "worker draining");
            }
        }
        onChange();
    };
    /** A worker that is no longer listed is stored as draining, so that the next holder starts nothing on it either. */
    const storedEntry = (worker: CellWorker): RosterEntry => {
        const { session } = worker;
        const { remaining, isDraining, ...entry } = session.entry();
        const leasedFor = session.leasedFor();
        const lateFor = session.lateFor();
        return {
            ...entry,
            isDraining: isDraining || !isListed(worker),
            ...(remaining === undefined
                ? {}
                : { remaining: Math.max(0, Math.round(remaining - (performance.now() - session.entryAt()))) }),
            leasedFor: leasedFor === undefined ? undefined : Math.ceil(leasedFor),
            lateFor: lateFor === undefined ? undefined : Math.ceil(lateFor),
            leasesEpoch: leasedFor === undefined ? undefined : epoch,
        };
    };
    /** Whether the roster has what a later holder has to know of the worker before it starts anything there. */
    const isStored = ({ id, isDraining, capacity, leasedFor, lateFor, leasesEpoch }: RosterEntry): boolean => {
        const stored = storedEntries.get(id);
        return stored !== undefined
            && stored.isDraining === isDraining
            // The time that is stored counts up to the write, so that it is stored again until it is over.
            && (leasedFor === undefined || leasedFor === 0) && stored.leasedFor === leasedFor
            && lateFor === undefined && stored.lateFor === undefined && stored.leasesEpoch === leasesEpoch
            && stored.capacity.cpu === capacity.cpu
            && stored.capacity.memory === capacity.memory
            && stored.capacity.accelerators === capacity.accelerators;
    };
    const writeRoster = async (): Promise<void> => {
        const members = [...workers.values()].filter(worker =>
            worker.unlistedSince === undefined || runRegistry.ofWorker(worker.session.id).size > 0
            || worker.session.contact() !== "lapsed"
        );
        const entries = members.map(storedEntry);
        const isUnchanged = entries.every(isStored) && entries.length === storedEntries.size;
        if (isRosterStored && isUnchanged) {
            return;
        }
        isRosterStored = false;
        const bounded = entries.filter(({ leasedFor }) => leasedFor !== undefined).map(({ id }) => id);
        const boundedBefore = boundedWorkers;
        boundedWorkers = new Set([...boundedWorkers, ...bounded]);
        // An unanswered write may have removed them; if they return, they have to be stored again before any start.
        const memberIds = new Set(entries.map(({ id }) => id));
        [...storedEntries.keys()].filter(id => !memberIds.has(id)).forEach(id => storedEntries.delete(id));
        const key = rowKeys.roster(cell);
        const recordProof = lease.trackCall();
        const written = await store.commit({
            checks: [lease.check, { ...key, version: rosterVersion }],
            writes: [{ ...key, value: rosterCodec.encode(entries) }],
        });
        if (written.isErr) {
            const { kind, message } = written.error;
            logger.warn({ cell, epoch, workers: members.length, error: kind, message }, "roster write failed");
            if (written.error.kind === "refused" || written.error.kind === "throttled") {
                // Nothing was stored.
                boundedWorkers = boundedBefore;
            }
            if (written.error.kind === "conflict") {
                const current = written.error.rows.find(found => found.key === key.key);
                rosterVersion = current?.version ?? 0;
                await lease.renew();
            }
            return;
        }
        recordProof();
        rosterVersion = written.value;
        isRosterStored = true;
        storedEntries.clear();
        entries.forEach(entry => storedEntries.set(entry.id, entry));
        boundedWorkers = new Set(bounded);
        for (const [id, worker] of workers) {
            worker.isOnRoster = storedEntries.has(id);
        }
        logger.info({ cell, epoch, workers: storedEntries.size }, "roster written");
        onChange();
    };
    /** Whether a worker in contact that may get leases waits for a write of the roster. */
    const hasBoundedContact = (): boolean =>
        [...boundedWorkers].some(id => {
            const session = workers.get(id)?.session;
            return session?.contact() === "known" && session.leasedFor() === undefined;
        });
    return {
        inherit: ({ roster: storedRoster, rosterVersion: version }) => {
            rosterVersion = version;
            const roster = storedRoster.map(({ leasedFor, lateFor, leasesEpoch, ...entry }): RosterEntry =>
                leasesEpoch === epoch - 1 ? { ...entry, leasedFor, lateFor, leasesEpoch } : entry
            );
            roster.forEach(entry => storedEntries.set(entry.id, entry));
            boundedWorkers = new Set(roster.filter(({ leasedFor }) => leasedFor !== undefined).map(({ id }) => id));
            roster.forEach(addWorker);
        },
        hasUnknownRuns: () =>
            [...workers.values()].some(({ session }) => storedEntries.has(session.id) && session.mayHaveUnknownRuns()),
        run: async stopSignal => {
            let readAt = -Infinity;
            let isRead = false;
            while (!stopSignal.aborted) {
                if (performance.now() - readAt >= readInterval()) {
                    const read = await list.update();
                    readAt = performance.now();
                    isRead ||= read.isOk;
                    if (read.isOk && !stopSignal.aborted) {
                        applyDirectory(read.value);
                    }
                }
                if (isRead && !stopSignal.aborted) {
                    await writeRoster();
                }
                const untilRead = readAt + readInterval() - performance.now();
                await wakeUp.wait(hasBoundedContact() ? Math.min(retryInterval, untilRead) : untilRead, stopSignal);
            }
        },
    };
};
