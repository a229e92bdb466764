import { Result } from "true-myth";

import type { WorkerGateway } from "../port/worker-gateway.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { Evacuations } from "./evacuation-watch.js";

/**
 * Creates a gateway that sends no start to a failure domain that is to be evacuated, whatever was decided before: a start
 * may have waited for its turn, or for a write. Other orders are sent, so that what runs there goes on.
 */
export const createGuardedGateway = (
    gateway: WorkerGateway,
    evacuations: Pick<Evacuations, "mayStartIn">,
    metrics: Pick<WorkflowMetrics, "withdrawnStarts">,
): WorkerGateway => ({
    ...gateway,
    start: async (worker, order) => {
        if (!evacuations.mayStartIn(worker.failureDomain)) {
            metrics.withdrawnStarts.inc();
            return Result.err({ kind: "not-sent", message: `${worker.failureDomain} gets no starts for now` });
        }
        return await gateway.start(worker, order);
    },
});
