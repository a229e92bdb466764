/** Processor time of a group of usable workers. */
export interface CpuRoom {
    /** Millicores that no task reserves. */
    readonly freeCpu: number;
    /** Millicores of all the workers. */
    readonly capacityCpu: number;
}
