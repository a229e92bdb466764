import type { CellId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import { settledWorkflow } from "../cell/settled-workflow.js";
import { tables } from "../cell/tables.js";
import type { Submission, WorkflowCell } from "../cell/workflow-cell.js";
import type { Workflow, WorkflowState } from "../model/workflow.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import { rankCells, widestDemand } from "../policy/choose-cell.js";
import type { StateStore } from "../port/state-store.js";
import { cancelIn } from "./cancel-in.js";
import type { CellClaim, CellClaims } from "./cell-claims.js";

/** Answer to a submitter who hands a workflow in. */
export interface SubmissionAnswer {
    readonly kind: "accepted" | "unavailable" | "unknown";
    /** Seconds after which the submitter should come back. */
    readonly retryAfter?: number;
    readonly reason: string;
}

/** Answer to a submitter who asks for a workflow or cancels it. */
export type WorkflowAnswer<Value> =
    | { readonly kind: "known"; readonly value: Value; }
    /** No such workflow exists. */
    | { readonly kind: "absent"; }
    /** It can't be told now. */
    | { readonly kind: "unavailable"; readonly reason: string; };

/** Serves submitters at any entry host, wherever their workflows are held. */
export interface WorkflowDesk {
    /** `patience`: milliseconds within which the submitter should have an answer, if there is to be one. */
    readonly submit: (workflow: Workflow, patience: number) => Promise<SubmissionAnswer>;
    readonly state: (id: JobId) => Promise<WorkflowAnswer<WorkflowState>>;
    readonly cancel: (id: JobId) => Promise<WorkflowAnswer<"cancelled">>;
    /** Workflows of a queue without a started task; undefined where some cell's figure is not known. */
    readonly pending: (queue: string) => number | undefined;
}

/** Options of {@link createWorkflowDesk}. */
export interface WorkflowDeskOptions {
    /** All cells; undefined until they are known. */
    readonly cells: () => readonly CellId[] | undefined;
    readonly store: StateStore;
    readonly network: WorkflowNetwork;
    readonly claims: CellClaims;
    readonly held: (cell: CellId) => WorkflowCell | undefined;
    /** Whether the cell is in the region of this host. */
    readonly isNear: (cell: CellId) => boolean;
    readonly logger: Logger;
}

/** Milliseconds for which a request for a workflow waits for its holder while cells change hands. */
const holderWait = 1_300;
/** Milliseconds for which a submission waits for a holder; after that its submitter does better to come back. */
const submissionWait = 300;
/** Milliseconds between two tries to learn what became of a submission. */
const resolveInterval = 150;
/** Milliseconds between two looks for a holder. */
const holderInterval = 50;
/** Seconds after which submitters come back when no cell could take their workflow: a takeover and a reserve. */
const retryAfterOutage = 1;
/** Milliseconds for which this host counts what it has sent to a cell; heartbeats tell it after that. */
const sentMemory = 800;

type Asked<Value> = Value | "not-holder" | "no-answer" | "not-sent";

/** Creates the desk of an entry host. */
export const createWorkflowDesk = (options: WorkflowDeskOptions): WorkflowDesk => {
    const { cells, store, network, claims, held, isNear, logger } = options;
    const sent: { readonly cell: CellId; readonly cpu: number; readonly at: number; }[] = [];

    const sentTo = (cell: CellId): number => {
        while (sent[0] !== undefined && performance.now() - sent[0].at > sentMemory) {
            sent.shift();
        }
        return sent.filter(entry => entry.cell === cell).reduce((sum, entry) => sum + entry.cpu, 0);
    };
    const activeClaims = (): readonly CellClaim[] => claims.allFresh().filter(claim => claim.summary.isActive);
    /** Waits a little for a holder, since cells without one are being taken over. */
    const waitFor = async <Found>(
        find: () => Found | undefined | Promise<Found | undefined>,
        patience: number = holderWait,
    ): Promise<Found | undefined> => {
        const deadline = performance.now() + patience;
        let found = await find();
        while (found === undefined && performance.now() < deadline) {
            await sleep(holderInterval);
            found = await find();
        }
        return found;
    };
    const submitTo = async (cell: CellId, workflow: Workflow): Promise<Asked<Submission>> => {
        const own = held(cell);
        if (own !== undefined) {
            return own.submit(workflow);
        }
        const claim = claims.fresh(cell);
        if (claim === undefined) {
            return "not-holder";
        }
        const answer = await network.call(claim.host, "submit", { cell, workflow });
        return answer.isOk ? answer.value : answer.error.kind === "unknown" ? "no-answer" : "not-sent";
    };
    const rank = (workflow: Workflow): readonly CellId[] =>
        rankCells(
            workflow.steps,
            workflow.queue.priority,
            activeClaims().map(({ summary }) => ({
                ...summary,
                sentCpu: sentTo(summary.cell),
                isNear: isNear(summary.cell),
            })),
        );
    /** Offers a workflow to all cells in turn; adds to `tried` what came of it. */
    const offer = async (workflow: Workflow, tried: string[]): Promise<"accepted" | "refused" | "unknown"> => {
        let isUnknown = false;
        for (const cell of rank(workflow)) {
            const outcome = await submitTo(cell, workflow);
            tried.push(`${cell}: ${outcome}`);
            if (outcome === "accepted") {
                sent.push({ cell, cpu: widestDemand(workflow.steps), at: performance.now() });
                return outcome;
            }
            // The index row makes the id unique, so that another cell can be tried after an unknown outcome.
            isUnknown ||= outcome === "unknown" || outcome === "no-answer";
        }
        return isUnknown ? "unknown" : "refused";
    };
    const submit = async (workflow: Workflow, patience: number): Promise<SubmissionAnswer> => {
        const deadline = performance.now() + patience;
        const tried: string[] = [];
        let mayBeStored = false;
        await waitFor(() => activeClaims().length > 0 ? true : undefined, Math.min(patience, submissionWait));
        do {
            const outcome = await offer(workflow, tried);
            if (outcome === "accepted") {
                return { kind: outcome, reason: tried.join(", ") };
            }
            // What may be stored must not be called refused: it is offered again until that is known.
            mayBeStored ||= outcome === "unknown";
            if (mayBeStored) {
                await sleep(resolveInterval);
            }
        }
        while (mayBeStored && performance.now() < deadline);
        const reason = tried.length === 0 ? "no cell has a holder" : tried.join(", ");
        logger.info({ job: workflow.id, mayBeStored, reason }, "workflow not accepted");
        return mayBeStored
            ? { kind: "unknown", reason }
            : { kind: "unavailable", reason, retryAfter: retryAfterOutage };
    };
    /** The cell of a workflow; `undefined` where no cell has it. */
    const locate = async (id: JobId): Promise<WorkflowAnswer<CellId>> => {
        const known = claims.cellOf(id);
        if (known !== undefined) {
            return { kind: "known", value: known };
        }
        const key = tables.index(id);
        const read = await store.read(key.table, key.partition, key.key);
        if (read.isErr) {
            return { kind: "unavailable", reason: `the index can't be read: ${read.error.message}` };
        }
        const [row] = read.value.rows;
        if (row === undefined) {
            return { kind: "absent" };
        }
        claims.learn(id, row.value as CellId);
        return { kind: "known", value: row.value as CellId };
    };
    const readSettled = async (cell: CellId, id: JobId): Promise<WorkflowAnswer<WorkflowState>> => {
        const key = tables.settled(cell, id);
        const read = await store.read(key.table, key.partition, key.key);
        if (read.isErr) {
            return { kind: "unavailable", reason: `the cell's rows can't be read: ${read.error.message}` };
        }
        const [row] = read.value.rows;
        return row === undefined
            ? { kind: "absent" }
            : { kind: "known", value: settledWorkflow.parse(JSON.parse(row.value)).state };
    };
    /** Logs on whose word a workflow that the index names is called absent. */
    const logAbsence = (id: JobId, { kind }: WorkflowAnswer<unknown>, cell: CellId, told: string | undefined): void => {
        if (kind === "absent") {
            const claim = claims.last(cell);
            const heardAgo = claim === undefined ? undefined : Math.round(performance.now() - claim.heardAt);
            logger.warn({
                job: id,
                cell,
                told,
                isHeldHere: held(cell) !== undefined,
                holder: claim?.host.id,
                epoch: held(cell)?.epoch ?? claim?.summary.epoch,
                heardAgo,
            }, "indexed workflow called absent");
        }
    };
    const askState = async (cell: CellId, id: JobId): Promise<Asked<WorkflowState | "not-known">> => {
        const own = held(cell);
        if (own !== undefined) {
            return own.isActive() ? own.state(id) ?? "not-known" : "not-holder";
        }
        const claim = claims.fresh(cell);
        if (claim === undefined) {
            return "not-holder";
        }
        const answer = await network.call(claim.host, "state", { cell, id });
        return answer.isOk ? answer.value : "no-answer";
    };
    const state = async (id: JobId): Promise<WorkflowAnswer<WorkflowState>> => {
        const cell = await locate(id);
        if (cell.kind !== "known") {
            return cell;
        }
        const told = await waitFor(async () => {
            const answer = await askState(cell.value, id);
            return answer === "not-holder" || answer === "no-answer" || answer === "not-sent" ? undefined : answer;
        });
        if (told !== undefined && told !== "not-known") {
            return { kind: "known", value: told };
        }
        const settled = await readSettled(cell.value, id);
        if (settled.kind !== "absent" || told === "not-known") {
            logAbsence(id, settled, cell.value, told);
            return settled;
        }
        return { kind: "unavailable", reason: `${cell.value} has no holder that answers` };
    };
    const askCancel = async (
        cell: CellId,
        id: JobId,
    ): Promise<Asked<"cancelled" | "unknown" | "not-known">> => {
        const own = held(cell);
        if (own !== undefined) {
            return cancelIn(own, id);
        }
        const claim = claims.fresh(cell);
        if (claim === undefined) {
            return "not-holder";
        }
        const answer = await network.call(claim.host, "cancel", { cell, id });
        return answer.isOk ? answer.value : "no-answer";
    };
    const cancel = async (id: JobId): Promise<WorkflowAnswer<"cancelled">> => {
        const cell = await locate(id);
        if (cell.kind !== "known") {
            return cell;
        }
        const told = await waitFor(async () => {
            const answer = await askCancel(cell.value, id);
            return answer === "cancelled" || answer === "not-known" ? answer : undefined;
        });
        if (told === "cancelled") {
            return { kind: "known", value: told };
        }
        if (told === "not-known") {
            const settled = await readSettled(cell.value, id);
            logAbsence(id, settled, cell.value, told);
            return settled.kind === "known" ? { kind: "known", value: "cancelled" } : settled;
        }
        return { kind: "unavailable", reason: `${cell.value} has no holder that answers` };
    };
    return {
        submit,
        state,
        cancel,
        pending: queue => {
            const counts = (cells() ?? [undefined]).map(cell => {
                const claim = cell === undefined ? undefined : claims.fresh(cell);
                return claim?.summary.isActive === true ? claim.summary.pending[queue] ?? 0 : undefined;
            });
            return counts.includes(undefined)
                ? undefined
                : counts.reduce<number>((sum, count) => sum + (count ?? 0), 0);
        },
    };
};
