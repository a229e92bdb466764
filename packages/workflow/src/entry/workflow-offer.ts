import type { CellId } from "@jayfront/world";

import type { SubmissionReply } from "../cell/submission-reply.js";

/** What came of offering a workflow to a cell; `no-answer`: the holder may have stored it. */
export type OfferOutcome = SubmissionReply | { readonly kind: "no-answer" | "not-sent"; };

/** One workflow that is offered to cells until one accepts it or the submitter has to be answered. */
export interface WorkflowOffer {
    /** Offers the workflow to the cells in turn; the cell that accepted it, if any did. */
    readonly offerTo: (cells: readonly CellId[]) => Promise<CellId | undefined>;
    /** Whether a cell was full when it was last offered, and no write may have stored it. */
    readonly isDeclined: () => boolean;
    /** Whether some write may have stored it; then it must not be called refused. */
    readonly mayBeStored: () => boolean;
    /** The cell that the index names; no other can accept the workflow. */
    readonly storedIn: () => CellId | undefined;
    /** Which cells were tried and what they said. */
    readonly describeAttempts: () => string;
}

/** Options of {@link createWorkflowOffer}. */
export interface WorkflowOfferOptions {
    readonly submitTo: (cell: CellId) => Promise<OfferOutcome>;
    /** Steady ms after which no further cell is tried for a workflow that may be stored. */
    readonly deadline: number;
}

/** Outcomes after which the workflow may be stored. */
const uncertain: ReadonlySet<OfferOutcome["kind"]> = new Set(["unknown", "no-answer", "elsewhere"]);

/** Creates an offer that no cell has heard of. */
export const createWorkflowOffer = ({ submitTo, deadline }: WorkflowOfferOptions): WorkflowOffer => {
    const tried: string[] = [];
    let mayBeStored = false;
    let isDeclined = false;
    let storedIn: CellId | undefined;

    const offerTo = async (cells: readonly CellId[]): Promise<CellId | undefined> => {
        isDeclined = false;
        for (const cell of cells) {
            const offered = await submitTo(cell);
            tried.push(`${cell}: ${offered.kind}`);
            if (offered.kind === "accepted") {
                return cell;
            }
            isDeclined ||= offered.kind === "full";
            // The index row makes the id unique, so that another cell can be tried after an unknown outcome.
            mayBeStored ||= uncertain.has(offered.kind);
            if (offered.kind === "elsewhere") {
                const isNews = storedIn !== offered.cell;
                storedIn = offered.cell;
                return isNews ? offerTo([offered.cell]) : undefined;
            }
            if (mayBeStored && performance.now() >= deadline) {
                return undefined;
            }
        }
        return undefined;
    };
    return {
        offerTo,
        isDeclined: () => isDeclined && !mayBeStored,
        mayBeStored: () => mayBeStored,
        storedIn: () => storedIn,
        describeAttempts: () => tried.join(", "),
    };
};
