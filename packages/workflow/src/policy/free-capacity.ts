/** Free capacity of a worker. */
export interface FreeCapacity {
    /** Millicores. */
    readonly cpu: number;
    /** MB. */
    readonly memory: number;
}
