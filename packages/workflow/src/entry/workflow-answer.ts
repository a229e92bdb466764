/** Answer to a request for a workflow's state or to a cancellation. */
export type WorkflowAnswer<Value> =
    | { readonly kind: "known"; readonly value: Value; }
    /** No such workflow exists. `isCancelled`: nor will one, since the id was cancelled before it was stored. */
    | { readonly kind: "absent"; readonly reason: string; readonly isCancelled?: boolean; }
    /** The answer can't be determined now; try again. */
    | { readonly kind: "unavailable"; readonly reason: string; };
