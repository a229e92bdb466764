/**
 * Fencing token that every command to a worker carries. `epoch` is that of the cell row; `term` counts the adoptions of
 * the worker within the epoch. A worker refuses commands whose fence differs from its current one.
 */
export interface Fence {
    readonly epoch: number;
    readonly term: number;
}
