/** What decides whether a waiting long-running task that has run before could have started in the last pass. */
export interface StartGateFacts {
    /** Whether the workflow was inherited and may still run on a worker that has not reported to this holder. */
    readonly isHeldBack: boolean;
    /** Whether all ends that the workflow's open steps depend on are stored. */
    readonly isStored: boolean;
    /** Whether a start or a stop of the task has been ordered and its outcome is not known. */
    readonly hasRun: boolean;
    /** See `UnansweredStarts.constraintOf`. */
    readonly constraint: string | undefined;
    /** Number of workers that accept tasks of the service. */
    readonly openWorkers: number;
    /** Number of them that have room and the required label. */
    readonly withRoom: number;
    /** Number of those where the step's limit per worker is not reached. */
    readonly withinLimit: number;
    /** Number of those that are not reserved. */
    readonly unreserved: number;
}

/** What keeps such a task from starting. */
export type StartGate =
    | "inherited"
    | "not stored"
    | "order pending"
    | "unanswered start"
    | "no open worker"
    | "no room"
    | "limit per worker"
    | "reserved"
    | "none";

/** The first gate that keeps the task from starting; `none` where the next pass should start it. */
export const startGate = (facts: StartGateFacts): StartGate => {
    const gates: readonly (readonly [StartGate, boolean])[] = [
        ["order pending", facts.hasRun],
        ["inherited", facts.isHeldBack],
        ["not stored", !facts.isStored],
        ["unanswered start", facts.constraint !== undefined],
        ["no open worker", facts.openWorkers === 0],
        ["no room", facts.withRoom === 0],
        ["limit per worker", facts.withinLimit === 0],
        ["reserved", facts.unreserved === 0],
    ];
    return gates.find(([, isClosed]) => isClosed)?.[0] ?? "none";
};
