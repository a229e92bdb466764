import type { EnvironmentDocument } from "@jayfront/world";

import type { InterferenceModel } from "./interference-model.js";
import { createInterferenceModel } from "./interference-model.js";
import type { TailRatioEstimate } from "./tail-ratio-estimate.js";
import { createTailRatioEstimate } from "./tail-ratio-estimate.js";

/** What is known of one service's latencies. */
export interface ServiceLatencyModels {
    readonly interference: InterferenceModel;
    readonly tailRatio: TailRatioEstimate;
    /** Monotonic milliseconds of the latest answered request. */
    lastRequestAt: number;
}

/** The models of all services; cells on one host share them, so that each learns from the others' requests. */
export interface LatencyModels {
    readonly forService: (service: string) => ServiceLatencyModels;
}

/** Share of its target that a service's mean latency is taken to be before anything is known. */
const meanShareOfTarget = 0.3;

/** Creates models that know nothing yet. */
export const createLatencyModels = (document: () => EnvironmentDocument): LatencyModels => {
    const services = new Map<string, ServiceLatencyModels>();
    return {
        forService: service => {
            const known = services.get(service);
            if (known !== undefined) {
                return known;
            }
            const target = document().services[service]?.targetMs ?? 1_000;
            const created: ServiceLatencyModels = {
                interference: createInterferenceModel({ initialMean: target * meanShareOfTarget }),
                tailRatio: createTailRatioEstimate(),
                lastRequestAt: -Infinity,
            };
            services.set(service, created);
            return created;
        },
    };
};
