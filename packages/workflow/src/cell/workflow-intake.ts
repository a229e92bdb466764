import type { JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import { estimateWorkflowBytes } from "../model/estimate-workflow-bytes.js";
import type { Workflow, WorkflowState } from "../model/workflow.js";
import type { MemoryAllowance } from "../port/memory-allowance.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { CellLease } from "./cell-lease.js";
import type { OpenWorkflow } from "./decode-open-workflow.js";
import { readWorkflowIndex } from "./read-workflow-index.js";
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
    /** Memory of the workflows whose submissions are in progress, in all cells of the host. Default: unbounded. */
    readonly waitingMemory: MemoryAllowance | undefined;
    /** Called with a workflow that is stored in this cell and that the holder does not have in memory. */
    readonly onStored: (stored: OpenWorkflow) => void;
    /** Called once it is known whether a submitted workflow is stored, or the cell is lost. */
    readonly onCompleted: (id: JobId) => void;
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
    const { store, lease, logger, metrics, lateWriteTime, stateOf, onStored, onCompleted, waitingMemory, signal } =
        options;
    const { cell, epoch } = lease;
    const pendingSubmissions = new Map<JobId, PendingSubmission>();
    const endStates = new Map<JobId, WorkflowState>();
    const submissionWriter = createSubmissionWriter({ store, lease, logger, metrics });

    const adopt = (stored: OpenWorkflow): boolean => {
        const isNew = stateOf(stored.workflow.id) === undefined && !lease.isLost() && !signal.aborted;
        if (isNew) {
            onStored(stored);
        }
        return isNew;
    };
    const cacheEndState = (id: JobId, state: WorkflowState): void => {
        endStates.set(id, state);
        const [oldest] = endStates.keys();
        if (endStates.size > maxCachedEndStates && oldest !== undefined) {
            endStates.delete(oldest);
        }
    };
    const find: WorkflowIntake["find"] = async id => {
        const cached = endStates.get(id);
        if (cached !== undefined) {
            return cached;
        }
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
            logger.warn({ job: id, cell, epoch }, "added a stored workflow that was not in memory");
        }
        return stateOf(id) ?? "unknown";
    };
    /** The reply that follows from an attempt; undefined if another attempt is needed. */
    const replyFor = async (
        attempt: StoreAttempt,
        { unansweredAt, awaitedUntil }: PendingSubmission,
    ): Promise<SubmissionReply | undefined> => {
        if (attempt.kind === "cancelled") {
            return attempt;
        }
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
        const { value } = read.value;
        if (value !== undefined) {
            return value.kind === "cancelled" ? value : { kind: "indexed", cell: value.cell, id: workflow.id };
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
    const completeSubmission = async (entry: PendingSubmission): Promise<SubmissionReply> => {
        const { workflow } = entry;
        const startedAt = performance.now();
        const isStillAwaited = (): boolean => performance.now() < entry.awaitedUntil;
        while (!signal.aborted && !lease.isLost()) {
            const isAwaited = isStillAwaited();
            const attempt = isAwaited
                ? await submissionWriter.store(workflow, isStillAwaited)
                : await checkIndex(entry);
            const reply = await replyFor(attempt, entry);
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
    const beginSubmission = (workflow: Workflow, bytes: number): PendingSubmission => {
        const entry: PendingSubmission = {
            workflow,
            awaitedUntil: performance.now() + replyTimeout,
            unansweredAt: -Infinity,
            outcome: Promise.resolve({ kind: "unknown" }),
        };
        pendingSubmissions.set(workflow.id, entry);
        entry.outcome = completeSubmission(entry).finally(() => {
            pendingSubmissions.delete(workflow.id);
            waitingMemory?.giveBack(bytes);
            onCompleted(workflow.id);
        });
        return entry;
    };
    return {
        find,
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
            // Besides the workflow, its encoded form waits, which is about as large.
            const bytes = 2 * estimateWorkflowBytes(workflow);
            if (pending === undefined && waitingMemory?.take(bytes) === false) {
                metrics.submissions.inc({ outcome: "no-memory" });
                return { kind: "refused" };
            }
            const entry = pending ?? beginSubmission(workflow, bytes);
            entry.awaitedUntil = performance.now() + replyTimeout;
            const timeout = sleep(replyTimeout).then((): SubmissionReply => ({ kind: "unknown" }));
            return await Promise.race([entry.outcome, timeout]);
        },
    };
};
