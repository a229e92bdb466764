import type { CellId } from "@jayfront/world";

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
    /** Whether a cell declined in the last round for lack of capacity, and no write may have stored the workflow. */
    readonly isDeclined: () => boolean;
    /** Share of the workflow's tasks for which the cell had room when it declined; 0 if it has not declined. */
    readonly roomShareOf: (cell: CellId) => number;
    /** Whether a write may have stored the workflow; then it must not be reported as refused. */
    readonly mayBeStored: () => boolean;
    /** Whether a cell declined because its holder is late with the placement of accepted workflows. */
    readonly hasFoundBehind: () => boolean;
    /** Lists the cells that were tried, with the outcomes, for logs. */
    readonly describeAttempts: () => string;
}

/** Options of {@link createWorkflowOffer}. */
export interface WorkflowOfferOptions {
    /** Submits the workflow to one cell. */
    readonly submitTo: (cell: CellId) => Promise<OfferOutcome>;
    /** Monotonic time in ms after which no further cell is tried for a workflow that may be stored. */
    readonly deadline: number;
    /** Monotonic time in ms from which a round ends with a cell that declines for lack of capacity. */
    readonly decliningUntil: number;
}

/** Kinds of outcome after which the workflow may be stored. */
const uncertainKinds: ReadonlySet<OfferOutcome["kind"]> = new Set(["unknown", "no-answer"]);

/** Creates an offer that has not been sent to any cell. */
export const createWorkflowOffer = (options: WorkflowOfferOptions): WorkflowOffer => {
    const { submitTo, deadline, decliningUntil } = options;
    const attempts: string[] = [];
    const roomShares = new Map<CellId, number>();
    let mayBeStored = false;
    let isDeclined = false;
    let hasFoundBehind = false;

    const offerTo = async (cells: readonly CellId[]): Promise<CellId | undefined> => {
        isDeclined = false;
        for (const cell of cells) {
            const outcome = await submitTo(cell);
            attempts.push(`${cell}: ${outcome.kind}`);
            if (outcome.kind === "accepted") {
                return cell;
            }
            if (outcome.kind === "elsewhere") {
                return outcome.cell;
            }
            if (outcome.kind === "full") {
                isDeclined = true;
                roomShares.set(cell, outcome.roomShare);
                if (performance.now() >= decliningUntil) {
                    return undefined;
                }
            }
            hasFoundBehind ||= outcome.kind === "behind";
            // The index row ensures that only one cell stores an id, so others can be tried after an unknown outcome.
            mayBeStored ||= uncertainKinds.has(outcome.kind);
            if (mayBeStored && performance.now() >= deadline) {
                return undefined;
            }
        }
        return undefined;
    };
    return {
        offerTo,
        isDeclined: () => isDeclined && !mayBeStored,
        roomShareOf: cell => roomShares.get(cell) ?? 0,
        mayBeStored: () => mayBeStored,
        hasFoundBehind: () => hasFoundBehind,
        describeAttempts: () => attempts.join(", "),
    };
};
