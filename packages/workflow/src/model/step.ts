/** A set of identical tasks of a workflow, which may run in parallel. */
export interface Step {
    /** Number of tasks. */
    readonly count: number;
    /** Millicores requested by one task. */
    readonly cpu: number;
    /** Memory requested by one task, in MB. */
    readonly memory: number;
    /** Number of accelerators requested by one task. */
    readonly accelerators: number;
    /** Milliseconds that a task is expected to take, as declared by the submitter; may be far off. */
    readonly expectedRunTime: number;
    /** Indices, from 0, of the steps whose tasks must all be done first. */
    readonly after: readonly number[];
    /** Whether tasks save checkpoints and can resume from them. */
    readonly isCheckpointing: boolean;
    /** Whether the tasks form a gang: they run only all at once and end together. */
    readonly isGang: boolean;
    /** Whether the tasks should be placed on one rack; they are slower when spread over several. */
    readonly needsOneRack: boolean;
    /** Label that a worker must have. */
    readonly requiredLabel?: string;
    /** Rack that holds the step's data; tasks are slower elsewhere. */
    readonly preferredRack?: string;
    /** Largest number of tasks of the step, in one occurrence, on one worker. */
    readonly perWorkerLimit?: number;
    /** Whether several runs of one task may be active at the same time. */
    readonly isSpeculative: boolean;
    /** Whether tasks are long-running: they run until the workflow is cancelled and are restarted however they end. */
    readonly isLasting: boolean;
    /** Image that the tasks run; tasks of one image behave alike. */
    readonly image?: string;
    /** Target for the tail latency of each task, in ms; tasks with a target are called serving tasks. */
    readonly tailTarget?: number;
    /** Whether tasks reserve no CPU and use only what others leave idle; these are called spare-CPU tasks. */
    readonly usesSpareCpu: boolean;
    /** Number of tasks of a long-running step that the scheduler may make unavailable at the same time. */
    readonly toleratedAbsences?: number;
}
