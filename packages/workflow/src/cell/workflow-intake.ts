import type { JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { Workflow, WorkflowState } from "../model/workflow.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { CellLease } from "./cell-lease.js";
import { readWorkflowIndex } from "./read-workflow-index.js";
import type { StoreAttempt } from "./store-workflow.js";
import { storeWorkflow } from "./store-workflow.js";
import type { OpenWorkflow } from "./stored-workflow.js";
import { readStoredWorkflow } from "./stored-workflow.js";
import type { SubmissionReply } from "./submission-reply.js";

/** Takes workflows into a cell: new ones, and those that its rows have and its holder does not know. */
export interface WorkflowIntake {
    readonly submit: (workflow: Workflow) => Promise<SubmissionReply>;
    /** Whether a write without answer may still store the workflow. */
    readonly hasPendingSubmission: (id: JobId) => boolean;
    /**
     * Looks a workflow up in the cell's rows; one that has not ended is taken in. `not-known`: the cell has no rows of
     * it. `unknown`: the rows, or whether this host still holds the cell, can't be read now.
     */
    readonly find: (id: JobId) => Promise<WorkflowState | "not-known" | "unknown">;
    /** Forgets the ends that `find` has read, whose rows may be removed. */
    readonly forgetEndStates: () => void;
}

/** Options of {@link createWorkflowIntake}. */
export interface WorkflowIntakeOptions {
    readonly store: StateStore;
    readonly lease: CellLease;
    readonly logger: Logger;
    readonly metrics: WorkflowMetrics;
    /** Milliseconds after which a write without answer can't be done any more. */
    readonly lateWriteTime: number;
    /** State of a workflow that the holder knows. */
    readonly stateOf: (id: JobId) => WorkflowState | undefined;
    /** Called with a workflow that is stored in this cell and not known to the holder. */
    readonly onStored: (stored: OpenWorkflow) => void;
    /** Ends all tries. */
    readonly signal: AbortSignal;
}

/** A submission whose outcome is not known yet. */
interface Unsettled {
    readonly workflow: Workflow;
    /** Steady ms until which a submitter waits; after that nothing new is written for it. */
    waitingUntil: number;
    /** Steady ms of the last write without answer. */
    unansweredAt: number;
    outcome: Promise<SubmissionReply>;
}

/** Milliseconds until a submitter is told that the outcome is unknown; less than a call between hosts may take. */
const answerPatience = 900;
/** Milliseconds between two tries while a submitter waits. */
const retryDelay = 150;
/** Milliseconds between two reads of the index once no submitter waits. */
const indexInterval = 500;
/** Workflows that ended under earlier holders whose states are remembered. */
const rememberedEnds = 5_000;

/** Creates the intake of a cell whose rows have been loaded. */
export const createWorkflowIntake = (options: WorkflowIntakeOptions): WorkflowIntake => {
    const { store, lease, logger, metrics, lateWriteTime, stateOf, onStored, signal } = options;
    const { cell, epoch } = lease;
    const unsettled = new Map<JobId, Unsettled>();
    const ends = new Map<JobId, WorkflowState>();

    const takeIn = (stored: OpenWorkflow): boolean => {
        const isNew = stateOf(stored.workflow.id) === undefined && !lease.isLost() && !signal.aborted;
        if (isNew) {
            onStored(stored);
        }
        return isNew;
    };
    const rememberEnd = (id: JobId, state: WorkflowState): void => {
        ends.set(id, state);
        const [oldest] = ends.keys();
        if (ends.size > rememberedEnds && oldest !== undefined) {
            ends.delete(oldest);
        }
    };
    const find: WorkflowIntake["find"] = async id => {
        const known = ends.get(id);
        if (known !== undefined) {
            return known;
        }
        const stored = await readStoredWorkflow(store, cell, id);
        if (stored.isErr) {
            return "unknown";
        }
        const found = stored.value;
        if (found.kind === "ended") {
            rememberEnd(id, found.state);
            return found.state;
        }
        // Rows may be run only if they were read before a proof that this host holds the cell; a successor's may not.
        if (!await lease.renew()) {
            return "unknown";
        }
        if (found.kind === "absent") {
            return "not-known";
        }
        if (takeIn(found)) {
            logger.warn({ job: id, cell, epoch }, "stored workflow taken in");
        }
        return stateOf(id) ?? "unknown";
    };
    /** Turns what came of a try into an answer; undefined where another try has to tell. */
    const conclude = async (attempt: StoreAttempt, mayBeStored: boolean): Promise<SubmissionReply | undefined> => {
        if (attempt.kind === "indexed" && (attempt.cell !== cell || lease.isLost())) {
            return { kind: "elsewhere", cell: attempt.cell };
        }
        if (attempt.kind === "indexed") {
            const state = await find(attempt.id);
            return state === "unknown" || state === "not-known" ? undefined : { kind: "accepted" };
        }
        if (attempt.kind === "stored") {
            takeIn({ kind: "open", workflow: attempt.workflow, progress: undefined, progressVersion: 0 });
            return { kind: "accepted" };
        }
        const isRefused = attempt.kind === "impossible" || attempt.kind === "refused" && !mayBeStored;
        return isRefused ? { kind: "refused" } : undefined;
    };
    /** Learns from the index what became of earlier writes. */
    const checkIndex = async ({ workflow, unansweredAt }: Unsettled): Promise<StoreAttempt> => {
        const askedAt = performance.now();
        const read = await readWorkflowIndex(store, workflow.id);
        if (read.isErr) {
            return { kind: "unknown" };
        }
        if (read.value.cell !== undefined) {
            return { kind: "indexed", cell: read.value.cell, id: workflow.id };
        }
        return { kind: askedAt - unansweredAt > lateWriteTime ? "impossible" : "unknown" };
    };
    const waitForStore = async (interval: number): Promise<void> => {
        do {
            await sleep(interval, signal);
        }
        while (lease.isStoreFailing() && !lease.isLost() && !signal.aborted);
    };
    const logOutcome = (
        workflow: Workflow,
        submission: SubmissionReply,
        attempt: StoreAttempt,
        startedAt: number,
    ): void => {
        metrics.submissions.inc({ outcome: submission.kind });
        logger.info({
            job: workflow.id,
            cell,
            epoch,
            outcome: submission.kind,
            storedIn: submission.kind === "elsewhere" ? submission.cell : undefined,
            attempt: attempt.kind,
            took: Math.round(performance.now() - startedAt),
        }, "submission settled");
    };
    /** Tries until the outcome is known; a successor reads the rows when it takes the cell. */
    const settle = async (entry: Unsettled): Promise<SubmissionReply> => {
        const { workflow } = entry;
        const startedAt = performance.now();
        while (!signal.aborted && !lease.isLost()) {
            const isAwaited = performance.now() < entry.waitingUntil;
            const mayBeStored = entry.unansweredAt > -Infinity;
            const attempt = isAwaited
                ? await storeWorkflow({ store, lease, workflow, logger })
                : await checkIndex(entry);
            const submission = await conclude(attempt, mayBeStored);
            if (submission !== undefined) {
                logOutcome(workflow, submission, attempt, startedAt);
                return submission;
            }
            if (isAwaited && attempt.kind === "unknown") {
                entry.unansweredAt = performance.now();
            }
            await waitForStore(isAwaited ? retryDelay : indexInterval);
        }
        metrics.submissions.inc({ outcome: "unknown" });
        return { kind: "unknown" };
    };
    const begin = (workflow: Workflow): Unsettled => {
        const entry: Unsettled = {
            workflow,
            waitingUntil: performance.now() + answerPatience,
            unansweredAt: -Infinity,
            outcome: Promise.resolve({ kind: "unknown" }),
        };
        unsettled.set(workflow.id, entry);
        entry.outcome = settle(entry).finally(() => unsettled.delete(workflow.id));
        return entry;
    };
    return {
        find,
        forgetEndStates: () => {
            ends.clear();
        },
        hasPendingSubmission: id => unsettled.has(id),
        submit: async workflow => {
            if (stateOf(workflow.id) !== undefined) {
                return { kind: "accepted" };
            }
            const known = unsettled.get(workflow.id);
            // A write now would probably have an unknown outcome too.
            if (known === undefined && (lease.isStoreFailing() || lease.isLost())) {
                return { kind: "refused" };
            }
            const entry = known ?? begin(workflow);
            entry.waitingUntil = performance.now() + answerPatience;
            const late = sleep(answerPatience).then((): SubmissionReply => ({ kind: "unknown" }));
            return await Promise.race([entry.outcome, late]);
        },
    };
};
