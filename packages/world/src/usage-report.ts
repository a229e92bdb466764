import type { ServiceId } from "./id/service-id.js";

/** Usage that a worker measured over one window. It is received after the window has ended; see `age`. */
export interface UsageReport {
    /** Number of the window, from 0 in each incarnation of the worker. */
    readonly sequence: number;
    /** Milliseconds from the end of the window to the reply that carries this report. */
    readonly age: number;
    /** Length of the window in milliseconds. */
    readonly window: number;
    /** By service: requests completed in the window, and their 99th percentile and mean latency in milliseconds. */
    readonly services: Readonly<Record<ServiceId, { completed: number; tail: number; mean: number; }>>;
    /** By batch class: mean number of tasks that ran during the window, each weighted by its throttle level. */
    readonly batch: Readonly<Record<string, number>>;
}
