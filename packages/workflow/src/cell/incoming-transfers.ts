import { isDeepStrictEqual } from "node:util";

import type { JobId } from "@jayfront/world";
import { createWakeUp } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkflowLedger } from "../ledger/workflow-ledger.js";
import { taskName } from "../model/task-name.js";
import type { StateStore, StoredRow } from "../port/state-store.js";
import { arrivedWorkflow } from "./arrived-workflow.js";
import type { CellLease } from "./cell-lease.js";
import { createTransferredLedger } from "./create-transferred-ledger.js";
import { decodeTransferRow } from "./decode-transfer-row.js";
import type { OtherCells } from "./other-cells.js";
import { rowKeys } from "./row-keys.js";
import type { RunController } from "./run-controller.js";
import type { StrandedTasks } from "./stranded-tasks.js";
import type { TransferRow } from "./transfer-row.js";

/** Long-running tasks of other cells' workflows that this cell runs, since their own cells had no room for them. */
export interface IncomingTransfers {
    /** Ledgers of the tasks by workflow. */
    readonly ledgers: ReadonlyMap<JobId, WorkflowLedger>;
    /** Takes over the rows that an earlier holder of the cell may have acted on. */
    readonly inherit: (rows: readonly StoredRow[]) => void;
    /** Reads the rows again soon, since another cell reports that it has changed them. */
    readonly notify: () => void;
    /** Adds a workflow that another cell reports to have moved to this one. */
    readonly notifyArrival: (id: JobId) => void;
    /** Returns tasks for which this cell has no room any more, if another cell may have room. */
    readonly review: () => void;
    /** Follows the rows until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createIncomingTransfers}. */
export interface IncomingTransfersOptions {
    readonly lease: CellLease;
    readonly store: StateStore;
    readonly otherCells: Pick<OtherCells, "withFreeCpu" | "notifyReturn">;
    readonly findStranded: () => readonly StrandedTasks[];
    readonly runController: Pick<RunController, "stopWorkflow" | "reserveNumbers" | "nextNumber">;
    readonly logger: Logger;
    /** Called when tasks of the workflow have been added. */
    readonly onArrival: (job: JobId) => void;
    /** See `WorkflowIntake.addArrived`. */
    readonly addArrived: (job: JobId) => Promise<boolean>;
}

/** Milliseconds between reads of the rows; bounds the time for which a cancelled task goes on if no notice arrives. */
const readInterval = 1_000;

/** A transfer row on which this holder acts. */
interface AppliedRow {
    readonly version: number;
    readonly content: TransferRow;
}

/** Creates a set without transferred tasks. */
export const createIncomingTransfers = (options: IncomingTransfersOptions): IncomingTransfers => {
    const { lease, store, otherCells, findStranded, runController, logger, onArrival, addArrived } = options;
    const { cell, epoch } = lease;
    const ledgers = new Map<JobId, WorkflowLedger>();
    const applied = new Map<JobId, AppliedRow>();
    /**
     * The contents of rows that return tasks. The tasks have left the ledger; as the write may take effect at any time,
     * it is repeated until the row has another version, and the tasks come back only with such a row.
     */
    const returns = new Map<JobId, TransferRow>();
    /**
     * Workflows that have moved here and are not added yet, with whether that is under way. They stay without a row in the
     * store, since its removal may have been carried out without an answer.
     */
    const arrived = new Map<JobId, boolean>();
    const wakeUp = createWakeUp();

    const apply = (row: StoredRow): void => {
        const id = row.key as JobId;
        const content = decodeTransferRow(row, logger);
        if (content === undefined) {
            return;
        }
        const { home, tasks } = content;
        const known = ledgers.get(id);
        const hasSameTasks = isDeepStrictEqual(applied.get(id)?.content.tasks, tasks);
        applied.set(id, { version: row.version, content });
        if (returns.has(id) && hasSameTasks) {
            // Other progress of the workflow was stored; the tasks are returned with a write that checks this version.
            return;
        }
        returns.delete(id);
        tasks.forEach(task => {
            runController.reserveNumbers(taskName({ job: id, ...task }), task.lastRun);
        });
        if (known === undefined) {
            ledgers.set(id, createTransferredLedger(content));
        }
        else {
            tasks.filter(({ isReturned }) => !isReturned).forEach(known.recordArrival);
        }
        logger.info(
            { job: id, cell, epoch, home, version: row.version, tasks: tasks.filter(task => !task.isReturned).length },
            "tasks transferred here",
        );
    };
    const drop = (id: JobId): void => {
        logger.info({ job: id, cell, epoch, home: applied.get(id)?.content.home }, "transferred tasks withdrawn");
        ledgers.get(id)?.recordCancellation();
        runController.stopWorkflow(id, "the workflow has ended in its cell");
        ledgers.delete(id);
        applied.delete(id);
        returns.delete(id);
    };
    const writeReturn = async (id: JobId, content: TransferRow): Promise<void> => {
        const key = rowKeys.transfer(cell, id);
        const row = applied.get(id);
        if (row === undefined) {
            return;
        }
        const recordProof = lease.trackCall();
        const written = await store.commit({
            checks: [lease.check, { ...key, version: row.version }],
            writes: [{ ...key, value: JSON.stringify(content) }],
        });
        if (written.isOk) {
            recordProof();
            returns.delete(id);
            applied.set(id, { version: written.value, content });
        }
        else if (written.error.kind === "rejected") {
            logger.error(
                { job: id, cell, epoch, message: written.error.message },
                "the store does not accept the row that returns transferred tasks; cancel their workflow and submit it again",
            );
        }
        else if (written.error.kind !== "conflict") {
            lease.recordStoreFailure();
        }
    };
    /** Removes the row that names a workflow which is known; it may have been removed along with adding it. */
    const removeArrival = async ({ table, partition, key, version }: StoredRow): Promise<void> => {
        const recordProof = lease.trackCall();
        const removed = await store.commit({
            checks: [lease.check, { table, partition, key, version }],
            writes: [],
            removals: [{ table, partition, key }],
        });
        if (removed.isOk) {
            recordProof();
        }
    };
    /** Adds a workflow that has moved here, unless that is under way. `row`: the row that names it, if it was read. */
    const addOne = async (id: JobId, row?: StoredRow): Promise<void> => {
        if (arrived.get(id) === true) {
            return;
        }
        arrived.set(id, true);
        if (await addArrived(id)) {
            arrived.delete(id);
            onArrival(id);
            if (row !== undefined) {
                await removeArrival(row);
            }
        }
        else {
            arrived.set(id, false);
        }
    };
    const readRows = async (): Promise<void> => {
        const { table, partition } = rowKeys.transfer(cell, "" as JobId);
        const read = await store.read(table, partition);
        if (read.isErr) {
            return;
        }
        const rows = read.value.rows.filter(row => arrivedWorkflow(row) === undefined);
        const present = new Set(rows.map(row => row.key as JobId));
        [...ledgers.keys()].filter(id => !present.has(id)).forEach(drop);
        const changed = rows.filter(row => applied.get(row.key as JobId)?.version !== row.version);
        // A holder must have read each row that its predecessor acted on. The rows don't depend on who holds this cell, so
        // this host acts only on rows that it read before a proof that it still was the holder.
        if (changed.length > 0 && await lease.renew()) {
            changed.forEach(row => {
                apply(row);
                onArrival(row.key as JobId);
            });
        }
        for (const [id, content] of returns) {
            await writeReturn(id, content);
        }
        const namingRows = new Map(read.value.rows.flatMap(row => {
            const id = arrivedWorkflow(row);
            return id === undefined ? [] : [[id, row] as const];
        }));
        for (const id of new Set([...namingRows.keys(), ...arrived.keys()])) {
            void addOne(id, namingRows.get(id));
        }
        // Repeated until the tasks are no longer in the row, since a notice can be lost.
        for (const [id, { content }] of applied) {
            if (content.tasks.some(({ isReturned }) => isReturned)) {
                otherCells.notifyReturn(content.home, id);
            }
        }
    };
    const giveBack = ({ ledger, stage, movable, nameOf, since }: StrandedTasks): void => {
        const { id } = ledger.workflow;
        const row = applied.get(id);
        const indices = new Set(movable());
        if (row === undefined || indices.size === 0 || returns.has(id)) {
            return;
        }
        const tasks = row.content.tasks.map(task =>
            task.step === stage.stepIndex && indices.has(task.index)
                ? { ...task, isReturned: true, lastRun: runController.nextNumber(nameOf(task.index)) - 1 }
                : task
        );
        indices.forEach(index => {
            ledger.recordDeparture({ occurrence: stage.occurrence, step: stage.stepIndex, index });
        });
        returns.set(id, { ...row.content, tasks });
        logger.info(
            { job: id, cell, epoch, indices: [...indices], waited: Math.round(performance.now() - since) },
            "transferred tasks returned, since no worker has room",
        );
        wakeUp.notify();
    };
    return {
        ledgers,
        inherit: rows => {
            rows.filter(row => arrivedWorkflow(row) === undefined).forEach(apply);
        },
        notify: wakeUp.notify,
        notifyArrival: id => {
            void addOne(id);
        },
        review: () => {
            findStranded()
                .filter(({ stage: { step } }) => otherCells.withFreeCpu(step.cpu).length > 0)
                .forEach(giveBack);
        },
        run: async signal => {
            while (!signal.aborted) {
                await wakeUp.wait(readInterval, signal);
                if (!signal.aborted) {
                    await readRows();
                }
            }
        },
    };
};
