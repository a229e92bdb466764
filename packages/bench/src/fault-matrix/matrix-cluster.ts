import type { LocalCluster, LocalHost } from "../cluster/local-cluster.js";
import { createLocalCluster } from "../cluster/local-cluster.js";
import { createSmallDocument, smallHiddenBehaviour } from "../cluster/small-environment.js";

/** Environment document of the matrix, TOML; `limit` (requests per second and team) differs between its versions. */
export const matrixDocument = (limit: number): string =>
    createSmallDocument({
        regions: { "east-a": "east", "west-a": "west" },
        cells: 2,
        requestsPerTeam: limit,
    });

/** Failure domain in which most faults are injected. */
export const faultedDomain = "east-a";

/** The run that faults are injected into, with the state that the checks need afterwards. */
export interface MatrixFaultContext {
    readonly cluster: LocalCluster;
    /** Running host that caused the step; any running host of {@link faultedDomain} if there is none. */
    readonly targetHost: () => LocalHost | undefined;
    /** Submits a job; resolves to its id, or to undefined if it was not accepted. */
    readonly submit: (job: object) => Promise<string | undefined>;
    /** Ids of the jobs accepted so far. */
    readonly jobIds: string[];
    readonly cancelledJobIds: Set<string>;
    /** Monotonic milliseconds at which workers began to drain, by worker. */
    readonly drainingSince: Map<string, number>;
    /** Ids of hosts that a fault killed or paused: their connections may break. */
    readonly faultedHosts: Set<string>;
    /** Versions of the environment that were accepted by a promotion. */
    readonly acceptedVersions: number[];
    /** Records a violation of the promise `configuration`. */
    readonly reportViolation: (evidence: string) => void;
}

/** Creates the cluster of one fault case: two failure domains in two regions. */
export const createMatrixCluster = (seed: number): LocalCluster =>
    createLocalCluster({
        seed,
        hosts: { [faultedDomain]: 3, "west-a": 2 },
        workers: { [faultedDomain]: 4, "west-a": 3 },
        document: matrixDocument(5_000),
        hidden: smallHiddenBehaviour,
    });
