import type { CellId } from "@jayfront/world";

/** A cell's reply to the submission of a workflow. */
export type SubmissionReply =
    /**
     * `accepted`: stored in this cell and loaded by its holder. `unknown`: an unanswered write may have stored it; the
     * holder keeps trying until it knows. `refused`: this submission has not stored it and never will. `full`: as
     * `refused`, since the cell lacks free resources; other cells may have them. `not-holder`: the host does not hold
     * the cell or has not loaded it yet.
     */
    | { readonly kind: "accepted" | "unknown" | "refused" | "full" | "not-holder"; }
    /** The index names `cell`, which is another one, for this workflow; only that cell can accept it. */
    | { readonly kind: "elsewhere"; readonly cell: CellId; };
