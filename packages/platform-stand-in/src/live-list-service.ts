import type { LiveMachines } from "@jayfront/platform";
import type { Host, Worker } from "@jayfront/world";

/** The live list. Changes of workers are shown after a lag. */
export interface LiveListService {
    readonly read: (failureDomain: string | undefined) => LiveMachines;
    /** Lists a host, or extends its entry, at once. */
    readonly announce: (host: Host) => void;
    /** Lists `worker`, or replaces its entry, after the lag. */
    readonly update: (worker: Worker) => void;
    /** Removes a worker from the list after the lag. */
    readonly remove: (worker: Worker) => void;
    /** Milliseconds after which a change is shown. */
    lag: number;
}

/** Options of {@link createLiveListService}. */
export interface LiveListServiceOptions {
    /** Milliseconds after which a change is shown. Default 2,000. */
    readonly lag?: number;
    /** Milliseconds after its last announcement at which a host's entry expires. Default 10,000. */
    readonly hostLifetime?: number;
}

/** Creates an empty live list. */
export const createLiveListService = (
    { lag = 2_000, hostLifetime = 10_000 }: LiveListServiceOptions = {},
): LiveListService => {
    const workers = new Map<string, Worker>();
    const hosts = new Map<string, { host: Host; expiresAt: number; }>();
    const applyAfterLag = (change: () => void): void => {
        setTimeout(change, service.lag).unref();
    };
    const service: LiveListService = {
        lag,
        read: failureDomain => ({
            hosts: [...hosts.values()]
                .filter(entry => entry.expiresAt > performance.now())
                .map(entry => entry.host),
            workers: [...workers.values()]
                .filter(worker => failureDomain === undefined || worker.failureDomain === failureDomain),
        }),
        announce: host => {
            hosts.set(host.id, { host, expiresAt: performance.now() + hostLifetime });
        },
        update: worker => {
            applyAfterLag(() => workers.set(worker.id, worker));
        },
        remove: worker => {
            applyAfterLag(() => workers.delete(worker.id));
        },
    };
    return service;
};
