import type { JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { Workflow, WorkflowState } from "../model/workflow.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { CellLease } from "./cell-lease.js";
import type { StoreAttempt } from "./store-workflow.js";
import { storeWorkflow } from "./store-workflow.js";
import type { StoredWorkflow } from "./stored-workflow.js";
import { readStoredWorkflow } from "./stored-workflow.js";
import type { Submission } from "./submission.js";

/** Takes workflows into a cell: new ones, and those that its rows have and its holder does not know. */
export interface WorkflowIntake {
    readonly submit: (workflow: Workflow) => Promise<Submission>;
    /**
     * Looks a workflow up in the cell's rows; one that has not ended is taken in. `not-known`: the cell has no rows of
     * it. `unknown`: the rows, or whether this host still holds the cell, can't be read now.
     */
    readonly find: (id: JobId) => Promise<WorkflowState | "not-known" | "unknown">;
}

/** Options of {@link createWorkflowIntake}. */
export interface WorkflowIntakeOptions {
    readonly store: StateStore;
    readonly lease: CellLease;
    readonly logger: Logger;
    readonly metrics: WorkflowMetrics;
    /** State of a workflow that the holder knows. */
    readonly stateOf: (id: JobId) => WorkflowState | undefined;
    /** Called with a workflow that is stored in this cell and not known to the holder. */
    readonly onStored: (stored: Extract<StoredWorkflow, { kind: "open"; }>) => void;
    /** Ends all tries. */
    readonly signal: AbortSignal;
}

/** Milliseconds until a submitter is told that the outcome is unknown; less than a call between hosts may take. */
const answerPatience = 900;
/** Milliseconds between two tries to learn what became of a write without answer. */
const retryDelay = 150;

/** Creates the intake of a cell whose rows have been loaded. */
export const createWorkflowIntake = (options: WorkflowIntakeOptions): WorkflowIntake => {
    const { store, lease, logger, metrics, stateOf, onStored, signal } = options;
    const { cell, epoch } = lease;
    /** Submissions whose outcome is not known yet. */
    const unsettled = new Map<JobId, Promise<Submission>>();

    const takeIn = (stored: Extract<StoredWorkflow, { kind: "open"; }>): void => {
        if (stateOf(stored.workflow.id) === undefined && !lease.isLost() && !signal.aborted) {
            onStored(stored);
        }
    };
    const find: WorkflowIntake["find"] = async id => {
        const stored = await readStoredWorkflow(store, cell, id);
        // Rows may be run only if they were read before a proof that this host holds the cell: a successor's are its own.
        if (stored.isErr || !await lease.renew()) {
            return "unknown";
        }
        const found = stored.value;
        if (found.kind === "open") {
            takeIn(found);
            logger.warn({ job: id, cell, epoch }, "stored workflow taken in");
            return stateOf(id) ?? "unknown";
        }
        return found.kind === "ended" ? found.state : "not-known";
    };
    /** Turns what came of a try into an answer; undefined where another try has to tell. */
    const conclude = async (
        attempt: StoreAttempt,
        workflow: Workflow,
        mayBeStored: boolean,
    ): Promise<Submission | undefined> => {
        switch (attempt.kind) {
            case "stored":
                takeIn({ kind: "open", workflow, progress: undefined, progressVersion: 0 });
                return { kind: "accepted" };
            case "indexed": {
                if (attempt.cell !== cell || lease.isLost()) {
                    return { kind: "elsewhere", cell: attempt.cell };
                }
                const state = await find(workflow.id);
                return state === "unknown" || state === "not-known" ? undefined : { kind: "accepted" };
            }
            case "deposed":
                return { kind: "refused" };
            case "refused":
                return mayBeStored ? undefined : { kind: "refused" };
            case "unknown":
                return undefined;
        }
    };
    const waitForStore = async (): Promise<void> => {
        do {
            await sleep(retryDelay, signal);
        }
        while (lease.isTroubled() && !lease.isLost() && !signal.aborted);
    };
    /** Tries until the outcome is known; a successor reads the rows when it takes the cell. */
    const settle = async (workflow: Workflow): Promise<Submission> => {
        const startedAt = performance.now();
        let mayBeStored = false;
        while (!signal.aborted && !lease.isLost()) {
            const attempt = await storeWorkflow({ store, lease, workflow, logger });
            const submission = await conclude(attempt, workflow, mayBeStored);
            if (submission !== undefined) {
                metrics.submissions.inc({ outcome: submission.kind });
                if (mayBeStored || attempt.kind !== "stored") {
                    const took = Math.round(performance.now() - startedAt);
                    const storedIn = submission.kind === "elsewhere" ? submission.cell : undefined;
                    logger.info(
                        {
                            job: workflow.id,
                            cell,
                            epoch,
                            outcome: submission.kind,
                            storedIn,
                            attempt: attempt.kind,
                            took,
                        },
                        "submission settled",
                    );
                }
                return submission;
            }
            mayBeStored ||= attempt.kind === "unknown";
            await waitForStore();
        }
        metrics.submissions.inc({ outcome: "unknown" });
        return { kind: "unknown" };
    };
    const begin = (workflow: Workflow): Promise<Submission> => {
        const submission = settle(workflow).finally(() => unsettled.delete(workflow.id));
        unsettled.set(workflow.id, submission);
        return submission;
    };
    return {
        find,
        submit: async workflow => {
            if (stateOf(workflow.id) !== undefined) {
                return { kind: "accepted" };
            }
            const known = unsettled.get(workflow.id);
            // A write now would probably have an unknown outcome too.
            if (known === undefined && (lease.isTroubled() || lease.isLost())) {
                return { kind: "refused" };
            }
            const late = sleep(answerPatience).then((): Submission => ({ kind: "unknown" }));
            return await Promise.race([known ?? begin(workflow), late]);
        },
    };
};
