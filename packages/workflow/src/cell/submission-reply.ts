import type { CellId } from "@jayfront/world";

/** What a cell answers to a workflow that is handed in. */
export type SubmissionReply =
    /**
     * `accepted`: stored in this cell and known to its holder. `unknown`: a write without answer may have stored it, and
     * the holder goes on until it knows. `refused`: not stored and never will be by this submission. `full`: likewise,
     * since the cell has no room for it and others may. `not-holder`: the host does not hold the cell, or has not loaded
     * it yet.
     */
    | { readonly kind: "accepted" | "unknown" | "refused" | "full" | "not-holder"; }
    /** The index names another cell; only that cell can accept the workflow. */
    | { readonly kind: "elsewhere"; readonly cell: CellId; };
