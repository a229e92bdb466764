import type { WorkflowCluster } from "./workflow-cluster.js";

/** What faults of a random day act on, and the randomness that they draw from. */
export interface FaultContext {
    readonly cluster: WorkflowCluster;
    /** From 0 up to but without 1. */
    readonly draw: () => number;
    readonly pick: <Item>(items: readonly Item[]) => Item | undefined;
    /** Runs `action` after so many milliseconds. */
    readonly runAfter: (milliseconds: number, action: () => void) => void;
}
