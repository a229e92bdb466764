import type { LocalCluster, LocalHost } from "../cluster/local-cluster.js";
import { createLocalCluster } from "../cluster/local-cluster.js";
import { createSmallDocument, smallHiddenBehaviour } from "../cluster/small-environment.js";

/** Environment document of the matrix; `limit` differs between its versions. */
export const matrixDocument = (limit: number): string =>
    createSmallDocument({
        regions: { "east-a": "east", "west-a": "west" },
        cells: 2,
        requestsPerTeam: limit,
    });

/** Failure domain that most faults strike. */
export const faultedDomain = "east-a";

/** What faults and steps work on. */
export interface MatrixFaultContext {
    readonly cluster: LocalCluster;
    /** Host that the current step concerns; a running host of the struck domain where none is known. */
    readonly targetHost: () => LocalHost | undefined;
    /** Submits a job and answers its id once it is accepted. */
    readonly submit: (job: object) => Promise<string | undefined>;
    /** Ids of the jobs accepted so far. */
    readonly jobIds: string[];
    readonly cancelledJobIds: Set<string>;
    readonly drainingSince: Map<string, number>;
    /** Hosts that a fault has killed or paused: their answers may break off. */
    readonly faultedHosts: Set<string>;
    /** Results of promotions: versions that were accepted. */
    readonly acceptedVersions: number[];
    /** Tells what else was found broken. */
    readonly reportViolation: (evidence: string) => void;
}

/** Creates the cluster of one cell: two failure domains in two regions. */
export const createMatrixCluster = (seed: number): LocalCluster =>
    createLocalCluster({
        seed,
        hosts: { [faultedDomain]: 3, "west-a": 2 },
        workers: { [faultedDomain]: 4, "west-a": 3 },
        document: matrixDocument(5_000),
        hidden: smallHiddenBehaviour,
    });
