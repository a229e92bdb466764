/** An answer that a submitter received to a request about a workflow. */
export interface ObservedAnswer {
    readonly request: "state" | "cancel";
    readonly host: string;
    /** Monotonic time at which the request was sent, in ms. */
    readonly requestedAt: number;
    /** Monotonic time at which the answer arrived, in ms. */
    readonly answeredAt: number;
    /** The workflow's state if the host knows it, otherwise the kind of the answer, such as `absent`. */
    readonly answer: string;
    /** Whether the host was isolated when it received the request or when it answered. */
    readonly isCutOff: boolean;
}

/** A workflow as its submitter sees it. */
export interface SubmittedWorkflow {
    readonly id: string;
    /** Number of tasks over all steps. */
    readonly taskCount: number;
    /** Whether its tasks are long-running: they run until the workflow is cancelled. */
    readonly isLasting: boolean;
    /** Outcome of each submission attempt, in the order of the attempts. */
    readonly outcomes: string[];
    /** Answers to state queries and cancellations. */
    readonly answers: ObservedAnswer[];
    /** Monotonic time of the first acceptance, in ms. */
    acceptedAt?: number;
    /** Monotonic time of the first cancellation request, in ms. */
    cancelSentAt?: number;
}
