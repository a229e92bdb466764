/** Load of a cell, as its holder tells it to hosts that have long-running work for it. */
export interface CellLoad {
    /** Millicores of all usable workers. */
    readonly capacityCpu: number;
    /**
     * Millicores that running tasks reserve or could use, and those that waiting long-running tasks request, or will
     * once their workflows are stored.
     */
    readonly usedCpu: number;
    /** Millicores that all long-running tasks of the cell request, running or not; rises with each that is accepted. */
    readonly longRunningCpu: number;
}
