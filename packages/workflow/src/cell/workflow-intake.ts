import type { JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { Workflow, WorkflowState } from "../model/workflow.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { CellLease } from "./cell-lease.js";
import type { OpenWorkflow } from "./decode-open-workflow.js";
import { decodeOpenWorkflow } from "./decode-open-workflow.js";
import { readWorkflowIndex } from "./read-workflow-index.js";
import { rowKeys } from "./row-keys.js";
import type { StoreAttempt } from "./store-workflows.js";
import { readStoredWorkflow } from "./stored-workflow.js";
import type { SubmissionReply } from "./submission-reply.js";
import { createSubmissionWriter } from "./submission-writer.js";

/** Adds workflows to a cell: new submissions, and stored ones that the holder does not have in memory. */
export interface WorkflowIntake {
    /** Stores a new workflow; replies within a bounded time and keeps trying in the background after that. */
    readonly submit: (workflow: Workflow) => Promise<SubmissionReply>;
    /** Whether a submission of the workflow is still in progress, so that it may yet be stored. */
    readonly hasPendingSubmission: (id: JobId) => boolean;
    /** Workflows whose submissions are still in progress. */
    readonly pendingWorkflows: () => readonly Workflow[];
    /**
     * Looks a workflow up in the cell's rows and adds it to the cell if it has not ended. `not-known`: the cell has no
     * rows of it. `unknown`: the rows could not be read, or it could not be shown that this host still holds the cell.
     */
    readonly find: (id: JobId) => Promise<WorkflowState | "not-known" | "unknown">;
    /**
     * As `find`, for a workflow that has moved to this cell; resolves to false if that is still to be repeated, since the
     * store or the lease was not known well enough.
     */
    readonly addArrived: (id: JobId) => Promise<boolean>;
    /** Records that the move of a workflow to another cell is stored, so that what was read or written before is out of date. */
    readonly recordDeparture: (id: JobId) => void;
    /** Clears the cache of end states that `find` has read, since their rows may have been removed. */
    readonly forgetEndStates: () => void;
}

/** Options of {@link createWorkflowIntake}. */
export interface WorkflowIntakeOptions {
    readonly store: StateStore;
    readonly lease: CellLease;
    readonly logger: Logger;
    readonly metrics: WorkflowMetrics;
    /** Milliseconds after which a write that was not answered can't take effect any more. */
    readonly lateWriteTime: number;
    /** State of a workflow that the holder has in memory. */
    readonly stateOf: (id: JobId) => WorkflowState | undefined;
    /** Called with a workflow that is stored in this cell and that the holder does not have in memory. */
    readonly onStored: (stored: OpenWorkflow) => void;
    /** Ends all attempts. */
    readonly signal: AbortSignal;
}

/** A submission of which it is not known yet whether it is stored. */
interface PendingSubmission {
    readonly workflow: Workflow;
    /** Monotonic time in ms until which a submitter waits; afterwards the index is read instead of writing again. */
    awaitedUntil: number;
    /** Monotonic time in ms at which a write last failed with unknown outcome; -Infinity if none did. */
    unansweredAt: number;
    outcome: Promise<SubmissionReply>;
}

/** Adds a stored workflow; returns whether it was added. */
type Adoption = (stored: OpenWorkflow) => boolean;

/** Milliseconds after which a submitter gets the reply `unknown`; below the time limit of a call between hosts. */
const replyTimeout = 900;
/** Milliseconds between two attempts to store a workflow while a submitter waits. */
const retryDelay = 150;
/** Milliseconds before the next attempt after the store refused one because it has too many calls. */
const throttledDelay = 100;
/** Milliseconds between two reads of the index once no submitter waits. */
const indexInterval = 500;
/** Number of workflows that ended under earlier holders whose end states are cached. */
const maxCachedEndStates = 5_000;

/** Creates the intake of a cell whose rows have been loaded. */
export const createWorkflowIntake = (options: WorkflowIntakeOptions): WorkflowIntake => {
    const { store, lease, logger, metrics, lateWriteTime, stateOf, onStored, signal } = options;
    const { cell, epoch } = lease;
    const pendingSubmissions = new Map<JobId, PendingSubmission>();
    const endStates = new Map<JobId, WorkflowState>();
    /** Attempts to add workflows; `isOutdated`: the workflow has moved to another cell since the attempt began. */
    const additions = new Set<{ readonly id: JobId; isOutdated: boolean; }>();
    const submissionWriter = createSubmissionWriter({ store, lease, logger, metrics });

    const adoptNew = (stored: OpenWorkflow): boolean => {
        const isNew = stateOf(stored.workflow.id) === undefined && !lease.isLost() && !signal.aborted;
        if (isNew) {
            onStored(stored);
        }
        return isNew;
    };
    /**
     * Calls `add` with a function that adds a stored workflow, unless this holder has it in memory, or had it since `add`
     * was called and it has moved away: answers of the store may be late.
     */
    const beginAddition = async <Value>(
        id: JobId,
        add: (adopt: Adoption) => Promise<Value>,
    ): Promise<Value> => {
        const addition = { id, isOutdated: false };
        additions.add(addition);
        return await add(stored => !addition.isOutdated && adoptNew(stored)).finally(() => additions.delete(addition));
    };
    const cacheEndState = (id: JobId, state: WorkflowState): void => {
        endStates.set(id, state);
        const [oldest] = endStates.keys();
        if (endStates.size > maxCachedEndStates && oldest !== undefined) {
            endStates.delete(oldest);
        }
    };
    /** Reads the workflow's rows and adds it if it has not ended; `onAdded` is called in that case. */
    const readAndAdd = async (id: JobId, adopt: Adoption, onAdded: () => void): ReturnType<WorkflowIntake["find"]> => {
        const stored = await readStoredWorkflow(store, cell, id);
        if (stored.isErr) {
            return "unknown";
        }
        const found = stored.value;
        if (found.kind === "ended") {
            cacheEndState(id, found.state);
            return found.state;
        }
        // The rows may be a successor's. A proof of the lease after the read shows that they are this holder's to run.
        if (!await lease.renew()) {
            return "unknown";
        }
        if (found.kind === "absent") {
            return "not-known";
        }
        if (adopt(found)) {
            onAdded();
        }
        return stateOf(id) ?? "unknown";
    };
    const findWith = async (id: JobId, onAdded: () => void): ReturnType<WorkflowIntake["find"]> =>
        await beginAddition(id, adopt => readAndAdd(id, adopt, onAdded));
    const find: WorkflowIntake["find"] = async id =>
        endStates.get(id) ?? await findWith(id, () => {
            logger.warn({ job: id, cell, epoch }, "added a stored workflow that was not in memory");
        });
    /**
     * Adds a workflow that has moved here, by few calls: the removal of the row that names it proves the lease, and that the
     * rows read before are up to date. False if that did not succeed.
     */
    const addFromRows = async (id: JobId, adopt: Adoption): Promise<boolean> => {
        const keys = [rowKeys.arrival(cell, id), rowKeys.progress(cell, id), rowKeys.workflow(cell, id)];
        const reads = await Promise.all(keys.map(({ table, partition, key }) => store.read(table, partition, key)));
        const [arrival, progress, workflow] = reads.map(read => read.isOk ? read.value.rows[0] : undefined);
        if (arrival === undefined || progress === undefined || workflow === undefined) {
            return false;
        }
        const decoded = decodeOpenWorkflow(workflow, progress);
        if (decoded.isErr) {
            return false;
        }
        const recordProof = lease.trackCall();
        const removed = await store.commit({
            checks: [
                lease.check,
                { ...rowKeys.arrival(cell, id), version: arrival.version },
                { ...rowKeys.progress(cell, id), version: progress.version },
            ],
            writes: [],
            removals: [rowKeys.arrival(cell, id)],
        });
        if (removed.isErr) {
            return false;
        }
        recordProof();
        if (adopt(decoded.value)) {
            logger.info({ job: id, cell, epoch }, "workflow moved here");
        }
        return stateOf(id) !== undefined;
    };
    /** The reply that follows from an attempt; undefined if another attempt is needed. */
    const replyFor = async (
        attempt: StoreAttempt,
        { unansweredAt, awaitedUntil }: PendingSubmission,
        adopt: Adoption,
    ): Promise<SubmissionReply | undefined> => {
        if (attempt.kind === "indexed" && (attempt.cell !== cell || lease.isLost())) {
            return { kind: "elsewhere", cell: attempt.cell };
        }
        if (attempt.kind === "indexed") {
            const state = await find(attempt.id);
            return state === "unknown" || state === "not-known" ? undefined : { kind: "accepted" };
        }
        if (attempt.kind === "stored") {
            adopt({ kind: "open", workflow: attempt.workflow, progress: undefined, progressVersion: 0 });
            return { kind: "accepted" };
        }
        const mayBeStored = unansweredAt > -Infinity;
        const hasTimeLeft = performance.now() + throttledDelay < awaitedUntil - retryDelay;
        const isRefused = attempt.kind === "impossible"
            || !mayBeStored
                && (attempt.kind === "refused" || attempt.kind === "rejected"
                    || attempt.kind === "throttled" && !hasTimeLeft);
        return isRefused ? { kind: "refused" } : undefined;
    };
    /** Finds out from the index whether an earlier write has stored the workflow. */
    const checkIndex = async ({ workflow, unansweredAt }: PendingSubmission): Promise<StoreAttempt> => {
        const sentAt = performance.now();
        const read = await readWorkflowIndex(store, workflow.id);
        if (read.isErr) {
            return { kind: "unknown" };
        }
        if (read.value.cell !== undefined) {
            return { kind: "indexed", cell: read.value.cell, id: workflow.id };
        }
        return { kind: sentAt - unansweredAt > lateWriteTime ? "impossible" : "unknown" };
    };
    const waitForStore = async (interval: number): Promise<void> => {
        do {
            await sleep(interval, signal);
        }
        while (lease.isStoreFailing() && !lease.isLost() && !signal.aborted);
    };
    const logOutcome = (
        workflow: Workflow,
        reply: SubmissionReply,
        attempt: StoreAttempt,
        startedAt: number,
    ): void => {
        metrics.submissions.inc({ outcome: reply.kind });
        logger.info({
            job: workflow.id,
            cell,
            epoch,
            outcome: reply.kind,
            storedIn: reply.kind === "elsewhere" ? reply.cell : undefined,
            attempt: attempt.kind,
            took: Math.round(performance.now() - startedAt),
        }, "submission completed");
    };
    /** Tries until the outcome is known or the cell is lost; a successor then loads whatever has been stored. */
    const completeSubmission = async (entry: PendingSubmission, adopt: Adoption): Promise<SubmissionReply> => {
        const { workflow } = entry;
        const startedAt = performance.now();
        const isStillAwaited = (): boolean => performance.now() < entry.awaitedUntil;
        while (!signal.aborted && !lease.isLost()) {
            const isAwaited = isStillAwaited();
            const attempt = isAwaited
                ? await submissionWriter.store(workflow, isStillAwaited)
                : await checkIndex(entry);
            const reply = await replyFor(attempt, entry, adopt);
            if (reply !== undefined) {
                logOutcome(workflow, reply, attempt, startedAt);
                return reply;
            }
            if (isAwaited && attempt.kind === "unknown") {
                entry.unansweredAt = performance.now();
            }
            await waitForStore(attempt.kind === "throttled" ? throttledDelay : isAwaited ? retryDelay : indexInterval);
        }
        metrics.submissions.inc({ outcome: "unknown" });
        return { kind: "unknown" };
    };
    const beginSubmission = (workflow: Workflow): PendingSubmission => {
        const entry: PendingSubmission = {
            workflow,
            awaitedUntil: performance.now() + replyTimeout,
            unansweredAt: -Infinity,
            outcome: Promise.resolve({ kind: "unknown" }),
        };
        pendingSubmissions.set(workflow.id, entry);
        entry.outcome = beginAddition(workflow.id, adopt => completeSubmission(entry, adopt)).finally(() =>
            pendingSubmissions.delete(workflow.id)
        );
        return entry;
    };
    return {
        find,
        addArrived: async id => {
            const isAdded = stateOf(id) !== undefined || await beginAddition(id, adopt => addFromRows(id, adopt));
            const state = isAdded ? undefined : await findWith(id, () => {
                logger.info({ job: id, cell, epoch }, "workflow moved here");
            });
            return state !== "unknown";
        },
        recordDeparture: id => {
            [...additions].filter(addition => addition.id === id).forEach(addition => {
                addition.isOutdated = true;
            });
        },
        forgetEndStates: () => {
            endStates.clear();
        },
        hasPendingSubmission: id => pendingSubmissions.has(id),
        pendingWorkflows: () => [...pendingSubmissions.values()].map(({ workflow }) => workflow),
        submit: async workflow => {
            if (stateOf(workflow.id) !== undefined) {
                return { kind: "accepted" };
            }
            const pending = pendingSubmissions.get(workflow.id);
            // A write now would probably have an unknown outcome, so the submission is refused before it is sent.
            if (pending === undefined && (lease.isStoreFailing() || lease.isLost())) {
                return { kind: "refused" };
            }
            const entry = pending ?? beginSubmission(workflow);
            entry.awaitedUntil = performance.now() + replyTimeout;
            const timeout = sleep(replyTimeout).then((): SubmissionReply => ({ kind: "unknown" }));
            return await Promise.race([entry.outcome, timeout]);
        },
    };
};
