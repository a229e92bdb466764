import type { CellId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkflowProgress } from "../ledger/workflow-progress.js";
import { workflowProgress } from "../ledger/workflow-progress.js";
import type { Workflow } from "../model/workflow.js";
import type { StateStore, StoreError } from "../port/state-store.js";
import type { CellLease } from "./cell-lease.js";
import { tables } from "./tables.js";

/** What came of storing a workflow; `elsewhere`: another cell has it, or it has ended already. */
export type Acceptance =
    | { readonly kind: "accepted"; readonly workflow: Workflow; readonly progress?: WorkflowProgress; }
    | { readonly kind: "elsewhere" | "refused" | "unknown"; };

/** Options of {@link acceptWorkflow}. */
export interface AcceptanceOptions {
    readonly store: StateStore;
    readonly lease: CellLease;
    readonly workflow: Workflow;
    readonly logger: Logger;
}

/** Milliseconds between two tries to learn what became of a write without answer. */
const retryDelay = 150;
/** Tries to store a workflow; the entry host tries again where time is left. */
const tries = 2;

/** Takes over a workflow whose rows stand already: a repeated submission, or an earlier write without answer. */
const readEarlier = async (
    { store, lease, workflow, logger }: AcceptanceOptions,
    cell: CellId,
): Promise<Acceptance> => {
    if (cell !== lease.cell) {
        logger.info(
            { job: workflow.id, cell: lease.cell, epoch: lease.epoch, storedIn: cell },
            "workflow stored elsewhere",
        );
        return { kind: "elsewhere" };
    }
    const rowKey = tables.workflow(cell, workflow.id);
    const progressKey = tables.progress(cell, workflow.id);
    const [row, progress] = await Promise.all([
        store.read(rowKey.table, rowKey.partition, rowKey.key),
        store.read(progressKey.table, progressKey.partition, progressKey.key),
    ]);
    if (row.isErr || progress.isErr) {
        return { kind: "unknown" };
    }
    const [found] = row.value.rows;
    const [stored] = progress.value.rows;
    // Without a row the workflow has ended.
    return found === undefined
        ? { kind: "elsewhere" }
        : {
            kind: "accepted",
            workflow: JSON.parse(found.value) as Workflow,
            ...(stored === undefined ? {} : { progress: workflowProgress.parse(JSON.parse(stored.value)) }),
        };
};

const outcomes: Record<Exclude<StoreError["kind"], "conflict">, "refused" | "unknown"> = {
    refused: "refused",
    throttled: "refused",
    "history-gone": "refused",
    unknown: "unknown",
};

/** Stores a workflow under an id that no cell has, or finds it stored; never runs twice what is submitted twice. */
export const acceptWorkflow = async (options: AcceptanceOptions): Promise<Acceptance> => {
    const { store, lease, workflow, logger } = options;
    const index = tables.index(workflow.id);
    const rowKey = tables.workflow(lease.cell, workflow.id);
    let outcome: "refused" | "unknown" = "refused";
    if (lease.isTroubled()) {
        return { kind: outcome };
    }
    for (let attempt = 0; attempt < tries && !lease.isLost(); attempt += 1) {
        const proven = lease.noteSent();
        const written = await store.commit({
            checks: [lease.check, { ...index, version: 0 }],
            writes: [
                { ...index, value: lease.cell },
                { ...rowKey, value: JSON.stringify(workflow) },
            ],
        });
        if (written.isOk) {
            proven();
            return { kind: "accepted", workflow };
        }
        if (written.error.kind === "conflict") {
            const earlier = written.error.rows.find(row => row.table === index.table && row.key === index.key);
            if (earlier !== undefined) {
                return readEarlier(options, earlier.value as CellId);
            }
            lease.lose("a submission found another holder in the cell's row");
            return { kind: outcome };
        }
        logger.warn({
            job: workflow.id,
            cell: lease.cell,
            error: written.error.kind,
            message: written.error.message,
        }, "workflow not stored");
        lease.noteTrouble();
        // Once one write may have been done, a later refusal does not undo it.
        outcome = outcome === "unknown" ? outcome : outcomes[written.error.kind];
        if (outcome === "refused") {
            return { kind: outcome };
        }
        await sleep(retryDelay);
    }
    return { kind: outcome };
};
