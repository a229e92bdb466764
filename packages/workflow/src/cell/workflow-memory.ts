import type { JobId } from "@jayfront/world";

import { estimateLedgerBytes } from "../model/estimate-ledger-bytes.js";
import type { Workflow } from "../model/workflow.js";
import type { MemoryAllowance } from "../port/memory-allowance.js";

/** Memory of the workflows that a cell has in memory, those that are about to be stored included. */
export interface WorkflowMemory {
    /** Takes memory for a workflow that may be refused; false if too little is left. */
    readonly reserve: (workflow: Workflow) => boolean;
    /** Takes memory for a workflow that is stored, whatever is left. */
    readonly hold: (workflow: Workflow) => void;
    /** Gives back what the workflow has taken. */
    readonly release: (id: JobId) => void;
}

/**
 * Creates the memory of a cell without workflows. `allowance`: shared by all cells of the host; unbounded if undefined.
 * Once `signal` aborts, all is given back, and nothing is taken any more.
 */
export const createWorkflowMemory = (
    allowance: MemoryAllowance | undefined,
    signal: AbortSignal,
): WorkflowMemory => {
    const taken = new Map<JobId, number>();
    const release = (id: JobId): void => {
        allowance?.giveBack(taken.get(id) ?? 0);
        taken.delete(id);
    };
    signal.addEventListener("abort", () => {
        [...taken.keys()].forEach(release);
    });
    return {
        reserve: workflow => {
            if (signal.aborted || taken.has(workflow.id)) {
                return !signal.aborted;
            }
            const bytes = estimateLedgerBytes(workflow);
            const isTaken = allowance?.take(bytes) !== false;
            if (isTaken) {
                taken.set(workflow.id, bytes);
            }
            return isTaken;
        },
        hold: workflow => {
            if (!signal.aborted && !taken.has(workflow.id)) {
                const bytes = estimateLedgerBytes(workflow);
                allowance?.hold(bytes);
                taken.set(workflow.id, bytes);
            }
        },
        release,
    };
};
