import type { WorkflowCluster } from "./workflow-cluster.js";

/** The cluster that random faults act on, and the seeded randomness that they draw from. */
export interface FaultContext {
    readonly cluster: WorkflowCluster;
    /** Draws a number from 0 (inclusive) to 1 (exclusive). */
    readonly draw: () => number;
    /** Draws an item; undefined if there is none. */
    readonly pick: <Item>(items: readonly Item[]) => Item | undefined;
    /** Runs `action` after this many milliseconds. */
    readonly runAfter: (milliseconds: number, action: () => void) => void;
}
