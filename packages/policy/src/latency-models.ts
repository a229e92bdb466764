import type { EnvironmentDocument } from "@jayfront/world";

import type { InterferenceModel } from "./interference-model.js";
import { createInterferenceModel } from "./interference-model.js";
import type { TailRatioEstimate } from "./tail-ratio-estimate.js";
import { createTailRatioEstimate } from "./tail-ratio-estimate.js";

/** Models of the latency of one service. */
export interface ServiceLatencyModels {
    /** Predicts the mean latency. */
    readonly interference: InterferenceModel;
    /** Ratio of the 99th percentile to the predicted mean. */
    readonly tailRatio: TailRatioEstimate;
    /** Monotonic time in milliseconds of the latest answered request; -Infinity before the first. */
    lastRequestAt: number;
}

/** The models of all services. All cells on a host share them, so that each learns from the requests of the others. */
export interface LatencyModels {
    /** Returns the models of a service, which are created at the first call. */
    readonly forService: (service: string) => ServiceLatencyModels;
}

/** Initial expectation of a service's mean latency, as a share of its target. */
const meanShareOfTarget = 0.3;

/** Creates models without any samples; `document` supplies the latency targets. */
export const createLatencyModels = (document: () => EnvironmentDocument): LatencyModels => {
    const services = new Map<string, ServiceLatencyModels>();
    return {
        forService: service => {
            const existing = services.get(service);
            if (existing !== undefined) {
                return existing;
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
