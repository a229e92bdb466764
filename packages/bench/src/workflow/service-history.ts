/** The service's free capacity at one moment, from the state of the platform stand-in. */
export interface CapacitySample {
    /** Monotonic time in ms. */
    readonly at: number;
    /** Number of tasks for which the workers have room, by failure domain; each worker for whole tasks only. */
    readonly places: ReadonlyMap<string, number>;
}

/** A time in which something disturbed the service: hosts, the store, workers, or the network between them. */
export interface Disturbance {
    /** Monotonic time in ms. */
    readonly from: number;
    /** Monotonic time in ms; infinite while it lasts. */
    until: number;
}

/** What is recorded of the service while it runs. */
export interface ServiceHistory {
    /** Samples in order, at short regular intervals. */
    readonly capacity: readonly CapacitySample[];
    readonly disturbances: readonly Disturbance[];
}
