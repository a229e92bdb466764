import type { ProblemName } from "../http/problem.js";

/** Why a call of the job interface was refused. */
export interface JobRefusal {
    readonly problem: ProblemName;
    readonly detail?: string | undefined;
}
