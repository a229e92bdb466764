/** What a submitter was told on asking for a workflow. */
export interface ObservedAnswer {
    readonly request: "state" | "cancel";
    readonly host: string;
    /** Steady ms. */
    readonly requestedAt: number;
    readonly answeredAt: number;
    /** State of a workflow that is known, else the kind of the answer. */
    readonly answer: string;
    /** Whether the host was cut off when it was asked or when it answered. */
    readonly isCutOff: boolean;
}

/** A workflow as its submitter knows it. */
export interface SubmittedWorkflow {
    readonly id: string;
    /** Tasks over all steps. */
    readonly taskCount: number;
    readonly isLasting: boolean;
    /** Outcomes of all attempts to hand it in. */
    readonly outcomes: string[];
    readonly answers: ObservedAnswer[];
    /** Steady ms of the first acceptance. */
    acceptedAt?: number;
    /** Steady ms of the first request to cancel it. */
    cancelSentAt?: number;
}
