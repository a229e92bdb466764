import type { CellId } from "@jayfront/world";
import { createStopSignal, sleep } from "@jayfront/world";

import type { SubmissionReply } from "../cell/submission-reply.js";

/**
 * Outcome of offering a workflow to a cell. `no-answer`: the holder may have stored it. `not-sent`: it has not. `silent`:
 * as `not-sent`, since the holder has not answered earlier submissions.
 */
export type OfferOutcome = SubmissionReply | { readonly kind: "no-answer" | "not-sent" | "silent"; };

/** Offers one workflow to cells until one accepts it, and tracks whether a cell may have stored it. */
export interface WorkflowOffer {
    /**
     * Offers the workflow to the cells in turn; resolves to the cell that has accepted it, if any: the one that says so,
     * or the one that the index names, whose holder runs what is stored there.
     */
    readonly offerTo: (cells: readonly CellId[]) => Promise<CellId | undefined>;
    /** Whether a cell declined in the last round for lack of capacity. */
    readonly isDeclined: () => boolean;
    /** Share of the workflow's tasks for which the cell had room when it declined; 0 if it has not declined. */
    readonly roomShareOf: (cell: CellId) => number;
    /** Whether a write may have stored the workflow; then it must not be reported as refused. */
    readonly mayBeStored: () => boolean;
    /** Whether a cell found that the workflow was cancelled before it was stored, so that no cell ever stores it. */
    readonly isCancelled: () => boolean;
    /** Whether a cell declined because its holder is late with the placement of accepted workflows. */
    readonly hasFoundBehind: () => boolean;
    /** Milliseconds after which the first cell that declined since the result would come too late expects its return. */
    readonly lateReturn: () => number | undefined;
    /** Lists the cells that were tried, with the outcomes, for logs. */
    readonly describeAttempts: () => string;
}

/** Options of {@link createWorkflowOffer}. */
export interface WorkflowOfferOptions {
    /** Submits the workflow to one cell. */
    readonly submitTo: (cell: CellId) => Promise<OfferOutcome>;
    /** Monotonic time in ms after which no further cell is tried for a workflow that may be stored. */
    readonly deadline: number;
    /** Monotonic time in ms from which the other cells are asked at once after one has declined for lack of capacity. */
    readonly decliningUntil: number;
    /** Monotonic time in ms from which a round does not wait for cells that were asked at once. */
    readonly acceptingFrom: number;
}

/** Kinds of outcome after which the workflow may be stored. */
const uncertainKinds: ReadonlySet<OfferOutcome["kind"]> = new Set(["unknown", "no-answer"]);

/** Creates an offer that has not been sent to any cell. */
export const createWorkflowOffer = (options: WorkflowOfferOptions): WorkflowOffer => {
    const { submitTo, deadline, decliningUntil, acceptingFrom } = options;
    const attempts: string[] = [];
    const roomShares = new Map<CellId, number>();
    let mayBeStored = false;
    let isDeclined = false;
    let isCancelled = false;
    let hasFoundBehind = false;
    let lateReturn: number | undefined;
    let recordAcceptance: (cell: CellId) => void = () => undefined;
    /** Resolves to the first cell that has accepted the workflow, also if it replies after the end of its round. */
    const acceptance = new Promise<CellId>(resolve => {
        recordAcceptance = resolve;
    });
    let acceptedBy: CellId | undefined;

    const offerToOne = async (cell: CellId): Promise<OfferOutcome> => {
        const outcome = await submitTo(cell);
        attempts.push(`${cell}: ${outcome.kind}`);
        if (outcome.kind === "full") {
            isDeclined = true;
            roomShares.set(cell, outcome.roomShare);
        }
        isCancelled ||= outcome.kind === "cancelled";
        hasFoundBehind ||= outcome.kind === "behind";
        if (outcome.kind === "late") {
            lateReturn = Math.min(lateReturn ?? Infinity, outcome.retryAfter);
        }
        // The index row ensures that only one cell stores an id, so others can be tried after an unknown outcome.
        mayBeStored ||= uncertainKinds.has(outcome.kind);
        acceptedBy ??= outcome.kind === "accepted" ? cell : outcome.kind === "elsewhere" ? outcome.cell : undefined;
        if (acceptedBy !== undefined) {
            recordAcceptance(acceptedBy);
        }
        return outcome;
    };
    /** Offers the workflow to the cells at once, and waits for their replies until {@link WorkflowOfferOptions.acceptingFrom}. */
    const offerToAll = async (cells: readonly CellId[]): Promise<void> => {
        const ended = createStopSignal();
        let open = cells.length;
        const replies = cells.map(async cell => {
            await offerToOne(cell);
            open -= 1;
        });
        const timeLeft = Math.max(0, acceptingFrom - performance.now());
        await Promise.race([Promise.all(replies), sleep(timeLeft, ended.signal)]);
        ended.abort();
        mayBeStored ||= open > 0;
    };
    const offerInTurn = async (cells: readonly CellId[]): Promise<CellId | undefined> => {
        isDeclined = false;
        for (const [index, cell] of cells.entries()) {
            const { kind } = await offerToOne(cell);
            if (acceptedBy !== undefined || isCancelled || mayBeStored && performance.now() >= deadline) {
                return acceptedBy;
            }
            if (kind === "full" && performance.now() >= decliningUntil) {
                await offerToAll(cells.slice(index + 1));
                return acceptedBy;
            }
        }
        return undefined;
    };
    return {
        offerTo: cells => Promise.race([acceptance, acceptedBy === undefined ? offerInTurn(cells) : acceptance]),
        isDeclined: () => isDeclined,
        roomShareOf: cell => roomShares.get(cell) ?? 0,
        mayBeStored: () => mayBeStored && !isCancelled,
        isCancelled: () => isCancelled,
        hasFoundBehind: () => hasFoundBehind,
        lateReturn: () => lateReturn,
        describeAttempts: () => attempts.join(", "),
    };
};
