import { cellId } from "../id/cell-id.js";
import type { CellId } from "../id/cell-id.js";
import type { FailureDomainId } from "../id/failure-domain-id.js";
import type { WorkerId } from "../id/worker-id.js";
import { rendezvousRank } from "./rendezvous-rank.js";

/** The cell that accounts for `worker`, of the `cells` into which `failureDomain` is divided. */
export const cellOfWorker = (worker: WorkerId, failureDomain: FailureDomainId, cells: number): CellId => {
    const candidates = [...Array(cells).keys()].map(number => cellId(failureDomain, number));
    return rendezvousRank(worker, candidates)[0] ?? cellId(failureDomain, 0);
};
