/** A set of equal tasks of a workflow; the tasks of one step may run at the same time. */
export interface Step {
    /** Number of tasks. */
    readonly count: number;
    /** Thousandths of a core that one task asks for. */
    readonly cpu: number;
    /** MB of memory that one task asks for. */
    readonly memory: number;
    /** Accelerators that one task asks for. */
    readonly accelerators: number;
    /** Milliseconds that the submitter expects a task to take; may be far off. */
    readonly expectedRunTime: number;
    /** Steps, counting from 0, whose tasks must all be done first. */
    readonly after: readonly number[];
    /** Whether tasks save checkpoints and can resume from them. */
    readonly isCheckpointing: boolean;
    /** Whether the tasks work only together and end together. */
    readonly isGang: boolean;
    /** Whether the tasks are slower when spread over several racks. */
    readonly needsOneRack: boolean;
    /** Label that a worker must carry. */
    readonly requiredLabel?: string;
    /** Rack that holds the step's data; tasks are slower elsewhere. */
    readonly preferredRack?: string;
    /** Most tasks of the step, in one occurrence, on one worker. */
    readonly perWorkerLimit?: number;
    /** Whether copies of a task may run in parallel. */
    readonly isSpeculative: boolean;
    /** Whether tasks run until the workflow is cancelled and are started again however they end. */
    readonly isLasting: boolean;
    /** What the tasks run; tasks of one image behave alike. */
    readonly image?: string;
    /** Milliseconds below which the tail of a serving task's response times has to stay. */
    readonly tailTarget?: number;
    /** Whether tasks take only the processor time that other tasks leave. */
    readonly usesSpareCpu: boolean;
    /** Tasks of a lasting step that may be unavailable at a time by our own actions. */
    readonly toleratedAbsences?: number;
}
