import type { FakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds until both cells have a holder that has loaded the cell's state. */
const warmUp = 4_000;

/** Starts four hosts and six workers in two failure domains, each with a cell of its own. */
export const startTwoCells = async (time: FakeTime): Promise<WorkflowCluster> => {
    const cluster = createWorkflowCluster({
        hosts: { "east-a": 2, "east-b": 2 },
        workers: { "east-a": 3, "east-b": 3 },
        cpuOf: () => 1_000,
        largestCell: 0,
    });
    await time.advance(warmUp);
    return cluster;
};
