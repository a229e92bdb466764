import type { CellId } from "@jayfront/world";

/** A cell's reply to the submission of a workflow. */
export type SubmissionReply =
    /**
     * `accepted`: stored in this cell and loaded by its holder. `unknown`: an unanswered write may have stored it; the
     * holder keeps trying until it knows. `refused`: this submission has not stored it and never will. `not-holder`:
     * the host does not hold the cell or has not loaded it yet. `behind`: as `refused`, since the holder is late with the
     * placement of the workflows that it has accepted. `cancelled`: neither this nor any other submission of the id has
     * stored the workflow or will, since it was cancelled before.
     */
    | { readonly kind: "accepted" | "unknown" | "refused" | "not-holder" | "behind" | "cancelled"; }
    /**
     * As `refused`, since the cell lacks free resources, or has got more work than known; other cells may have them. `roomShare`: share of the workflow's
     * tasks for which the cell has room; negative where not even what waits there fits.
     */
    | { readonly kind: "full"; readonly roomShare: number; }
    /** As `refused`, since the workflow's result would come too late for its submitter, who should return after `retryAfter` ms. */
    | { readonly kind: "late"; readonly retryAfter: number; }
    /** The index names `cell`, which is another one, for this workflow: it is stored there. */
    | { readonly kind: "elsewhere"; readonly cell: CellId; };
