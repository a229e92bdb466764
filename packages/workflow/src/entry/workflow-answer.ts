/** Answer to a submitter who asks for a workflow or cancels it. */
export type WorkflowAnswer<Value> =
    | { readonly kind: "known"; readonly value: Value; }
    /** No such workflow exists. */
    | { readonly kind: "absent"; readonly reason: string; }
    /** It can't be told now. */
    | { readonly kind: "unavailable"; readonly reason: string; };
