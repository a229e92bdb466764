/** How a service behaves on a worker that does nothing else. */
export interface ServiceBehaviour {
    /** Median time of one request in milliseconds. */
    readonly median: number;
    /** Ratio of the 99th percentile to the median. */
    readonly spread: number;
}

/** What the stand-in knows about tasks and services, and jayfront is never told. */
export interface HiddenBehaviour {
    readonly services: Record<string, ServiceBehaviour>;
    /**
     * By `<service>/<batch class>`: the share by which one batch task at full speed slows the service on an idle
     * worker; it grows to twice that on a busy one.
     */
    readonly disturbance: Record<string, number>;
    /** What all endpoints together reserve on each worker. */
    readonly reserved: { readonly cores: number; readonly memory: number; readonly accelerators: number; };
}
