/** Latency of a service on a worker that runs nothing else. */
export interface ServiceBehaviour {
    /** Median latency of a request in milliseconds. */
    readonly median: number;
    /** Ratio of the 99th percentile to the median. */
    readonly spread: number;
}

/** Behaviour of services and batch tasks that the stand-in simulates and does not disclose to jayfront. */
export interface HiddenBehaviour {
    /** By service. */
    readonly services: Record<string, ServiceBehaviour>;
    /**
     * By `<service>/<batch class>`: the fraction by which one batch task at full speed increases the latency of the
     * service on an idle worker. On a fully loaded worker it is twice as large.
     */
    readonly disturbance: Record<string, number>;
    /** Resources that all endpoints of a worker reserve together. */
    readonly reserved: { readonly cores: number; readonly memory: number; readonly accelerators: number; };
}
