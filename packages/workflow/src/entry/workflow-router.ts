import type { CellId, JobId } from "@jayfront/world";
import { sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { WorkflowCell } from "../cell/workflow-cell.js";
import type { Workflow, WorkflowState } from "../model/workflow.js";
import type { WorkflowReplies } from "../peer/workflow-message.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import { rankCells, widestStepCpu } from "../policy/rank-cells.js";
import type { StateStore } from "../port/state-store.js";
import type { CellClaim, CellClaims } from "./cell-claims.js";
import { lookUpCell } from "./look-up-cell.js";
import { readState } from "./read-state.js";
import type { WorkflowAnswer } from "./workflow-answer.js";
import type { OfferOutcome } from "./workflow-offer.js";
import { createWorkflowOffer } from "./workflow-offer.js";

/** Answer to a submitter who hands a workflow in. */
export interface SubmissionAnswer {
    readonly kind: "accepted" | "unavailable" | "unknown";
    /** Seconds after which the submitter should come back. */
    readonly retryAfter?: number;
    readonly reason: string;
}

/** Serves submitters at any entry host, wherever their workflows are held. */
export interface WorkflowRouter {
    /** `patience`: milliseconds within which the submitter should have an answer, if there is to be one. */
    readonly submit: (workflow: Workflow, patience: number) => Promise<SubmissionAnswer>;
    readonly state: (id: JobId) => Promise<WorkflowAnswer<WorkflowState>>;
    readonly cancel: (id: JobId) => Promise<WorkflowAnswer<"cancelled">>;
    /** Workflows of a queue without a started task; undefined where some cell's figure is not known. */
    readonly pending: (queue: string) => number | undefined;
}

/** Options of {@link createWorkflowRouter}. */
export interface WorkflowRouterOptions {
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
/** Milliseconds for which this host counts what it has sent to a cell; the rarest heartbeats tell it after that. */
const sentMemory = 1_600;

/** Creates the desk of an entry host. */
export const createWorkflowRouter = (options: WorkflowRouterOptions): WorkflowRouter => {
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
    const submitTo = async (cell: CellId, workflow: Workflow, mayDecline: boolean): Promise<OfferOutcome> => {
        const own = held(cell);
        if (own !== undefined) {
            return own.submit(workflow, mayDecline);
        }
        const claim = claims.fresh(cell);
        if (claim === undefined) {
            return { kind: "not-holder" };
        }
        const answer = await network.call(claim.host, "submit", { cell, workflow, mayDecline });
        return answer.isOk ? answer.value : { kind: answer.error.kind === "unknown" ? "no-answer" : "not-sent" };
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
            workflow.id,
        );
    const submit = async (workflow: Workflow, patience: number): Promise<SubmissionAnswer> => {
        const deadline = performance.now() + patience;
        // Each cell may say once that it has no room; after that one of them has to take the workflow.
        let mayDecline = true;
        const offer = createWorkflowOffer({ submitTo: cell => submitTo(cell, workflow, mayDecline), deadline });
        await waitFor(() => activeClaims().length > 0 ? true : undefined, Math.min(patience, submissionWait));
        do {
            const storedIn = offer.storedIn();
            const ranked = storedIn === undefined ? rank(workflow) : [storedIn];
            const roomy = await offer.offerTo(ranked);
            mayDecline = false;
            const cell = roomy ?? (offer.isDeclined() ? await offer.offerTo(ranked) : undefined);
            if (cell !== undefined) {
                sent.push({ cell, cpu: widestStepCpu(workflow.steps), at: performance.now() });
                return { kind: "accepted", reason: offer.describeAttempts() };
            }
            // What may be stored must not be called refused: it is offered again until that is known.
            if (offer.mayBeStored()) {
                await sleep(resolveInterval);
            }
        }
        while (offer.mayBeStored() && performance.now() < deadline);
        const mayBeStored = offer.mayBeStored();
        const reason = offer.describeAttempts() || "no cell has a holder";
        logger.info({ job: workflow.id, mayBeStored, storedIn: offer.storedIn(), reason }, "workflow not accepted");
        return mayBeStored
            ? { kind: "unknown", reason }
            : { kind: "unavailable", reason, retryAfter: retryAfterOutage };
    };
    /** The cell of a workflow. */
    const locate = async (id: JobId): Promise<WorkflowAnswer<CellId>> => {
        const known = claims.cellOf(id);
        if (known !== undefined) {
            return { kind: "known", value: known };
        }
        const read = await lookUpCell(store, id);
        if (read.kind === "known") {
            claims.rememberCell(id, read.value);
        }
        return read;
    };
    /** Asks the holder of a cell, which may be this host. */
    const ask = async <Kind extends "state" | "cancel">(
        kind: Kind,
        cell: CellId,
        id: JobId,
    ): Promise<WorkflowReplies[Kind] | "not-holder"> => {
        const own = held(cell);
        if (own !== undefined) {
            return await own[kind](id) as WorkflowReplies[Kind];
        }
        const claim = claims.fresh(cell);
        const answer = claim === undefined ? undefined : await network.call(claim.host, kind, { cell, id });
        return answer?.isOk === true ? answer.value : "not-holder";
    };
    const state = async (id: JobId): Promise<WorkflowAnswer<WorkflowState>> => {
        const cell = await locate(id);
        if (cell.kind !== "known") {
            return cell;
        }
        const told = await waitFor(async () => {
            const reply = await ask("state", cell.value, id);
            return reply === "not-holder" ? undefined : reply;
        });
        if (told !== undefined && told !== "not-known" && told !== "unknown") {
            return { kind: "known", value: told };
        }
        // A host that was deposed, or has not loaded the cell, lacks what is stored: only the rows tell of absence.
        const stored = await readState(store, id);
        logger.info({ job: id, cell: cell.value, told: told ?? "no-answer", ...stored }, "state told by the store");
        return stored;
    };
    /** Whether every holder says that no write of its own may still store the workflow. */
    const isNowhereUnsettled = async (id: JobId): Promise<boolean> => {
        const replies = await Promise.all((cells() ?? []).map(cell => ask("cancel", cell, id)));
        return replies.length > 0 && replies.every(reply => reply === "not-known");
    };
    const cancel = async (id: JobId): Promise<WorkflowAnswer<"cancelled">> => {
        const cell = await locate(id);
        if (cell.kind === "absent") {
            return await isNowhereUnsettled(id)
                ? cell
                : { kind: "unavailable", reason: "a write without answer may still store the workflow" };
        }
        if (cell.kind === "unavailable") {
            return cell;
        }
        const told = await waitFor(async () => {
            const reply = await ask("cancel", cell.value, id);
            return reply === "cancelled" || reply === "not-known" ? reply : undefined;
        });
        if (told === "cancelled") {
            return { kind: "known", value: told };
        }
        const stored = await readState(store, id);
        const hasEnded = stored.kind === "known" && stored.value !== "queued" && stored.value !== "running";
        if (hasEnded) {
            return { kind: "known", value: "cancelled" };
        }
        return stored.kind === "absent"
            ? stored
            : { kind: "unavailable", reason: `${cell.value} has no holder that can cancel` };
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
