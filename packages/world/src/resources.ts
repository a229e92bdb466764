/** Resources of a worker, as held by a task while it runs. */
export interface Resources {
    /** Processor cores; fractions are allowed. */
    readonly cores: number;
    /** Memory in GB. */
    readonly memory: number;
    /** Number of accelerators; whole. */
    readonly accelerators: number;
}
