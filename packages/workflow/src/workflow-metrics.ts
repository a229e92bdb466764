import type { Registry } from "prom-client";
import { Counter, Gauge, Histogram } from "prom-client";

/** Metrics of workflows; label values come from the configuration and fixed lists. */
export interface WorkflowMetrics {
    readonly registry: Registry;
    /** Seconds from a caller's request to its answer, by queue, kind of request and status. */
    readonly requestSeconds: Histogram<"queue" | "request" | "status">;
    /** Seconds from a workflow's acceptance to its end, by queue and state. */
    readonly workflowSeconds: Histogram<"queue" | "state">;
    /** Workflows submitted to cells that this host holds, by outcome. */
    readonly submissions: Counter<"outcome">;
    /** Submissions that this host answered as not accepted, by reason: `behind`, `no-holder` or `other`. */
    readonly refusedSubmissions: Counter<"reason">;
    /** Cancellations of workflows that no cell had stored, by outcome; `limited`: answered as unavailable. */
    readonly earlyCancellations: Counter<"outcome">;
    /** Seconds for which accepted or refused workflows were expected to wait for room, by queue. */
    readonly forecastWait: Histogram<"queue">;
    /** Runs of tasks that ended or were not started, by queue and outcome. */
    readonly runEnds: Counter<"queue" | "outcome">;
    /**
     * Tasks that have waited for a place where they run faster, by queue and outcome: `near` if they got it, else why they
     * started elsewhere (see `NearWaitDecision`; `other`: not by their own decision).
     */
    readonly nearWaits: Counter<"queue" | "outcome">;
    /** Long-running tasks that cells held by this host have transferred to other cells, by queue. */
    readonly transferredTasks: Counter<"queue">;
    /** Calls to the store, by operation and outcome. */
    readonly storeCalls: Counter<"operation" | "outcome">;
    /** Seconds that answered calls to the store took, by operation. */
    readonly storeSeconds: Histogram<"operation">;
    /** Seconds after which the next call to the store counts as unanswered. */
    readonly storeTimeout: Gauge;
    /** Workflows per transaction that stores submissions. */
    readonly submissionGroups: Histogram;
    /** Calls to workers, by order and outcome. */
    readonly workerCalls: Counter<"order" | "outcome">;
    /** Seconds for which a long-running task was without a run that its holder ended or lost, by part of that time. */
    readonly absenceSeconds: Histogram<"part">;
    /** Seconds that parts of a placement pass took: its delay by other work of the process, and the pass itself. */
    readonly passSeconds: Histogram<"part">;
    /** Changes of the pace of spare-CPU tasks, by direction. */
    readonly paceChanges: Counter<"direction">;
    /** Workers of the cells held by this host that were found slow and have not recovered. */
    readonly slowWorkers: Gauge;
    /** Cells that this host took, lost or handed over, by kind of change. */
    readonly cellChanges: Counter<"change">;
    /** Version of the configuration in force. */
    readonly configurationVersion: Gauge;
    /** Tasks that still run in failure domains that are to be evacuated, by domain; without a request no value. */
    readonly evacuatedDomainTasks: Gauge<"domain">;
    /** Starts that were not sent, since their failure domain is to be evacuated, or since that is not known. */
    readonly withdrawnStarts: Counter;
}

/** Upper bounds in seconds. */
const requestBuckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4];
/** Upper bounds in seconds. */
const workflowBuckets = [0.25, 0.5, 1, 2, 4, 8, 16, 32, 64, 300];
/** Upper bounds in seconds. */
const absenceBuckets = [0.05, 0.1, 0.25, 0.5, 1, 2, 3, 6, 9, 15, 30];
/** Upper bounds in seconds. */
const passBuckets = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1];
/** Upper bounds in workflows. */
const groupBuckets = [1, 2, 4, 8, 16, 33];

/** Registers all metrics with `registry`. */
export const createWorkflowMetrics = (registry: Registry): WorkflowMetrics => {
    const registers = [registry];
    return {
        registry,
        requestSeconds: new Histogram({
            name: "jayfront_caller_request_seconds",
            help: "Seconds from a caller's request to its answer",
            labelNames: ["queue", "request", "status"],
            buckets: requestBuckets,
            registers,
        }),
        workflowSeconds: new Histogram({
            name: "jayfront_workflow_seconds",
            help: "Seconds from a workflow's acceptance to its end",
            labelNames: ["queue", "state"],
            buckets: workflowBuckets,
            registers,
        }),
        submissions: new Counter({
            name: "jayfront_submissions_total",
            help: "Workflows handed in to cells held by this host",
            labelNames: ["outcome"],
            registers,
        }),
        refusedSubmissions: new Counter({
            name: "jayfront_refused_submissions_total",
            help: "Submissions answered as not accepted",
            labelNames: ["reason"],
            registers,
        }),
        earlyCancellations: new Counter({
            name: "jayfront_early_cancellations_total",
            help: "Cancellations of workflows that no cell had stored",
            labelNames: ["outcome"],
            registers,
        }),
        forecastWait: new Histogram({
            name: "jayfront_forecast_wait_seconds",
            help: "Seconds for which submitted short-lived workflows were expected to wait for room",
            labelNames: ["queue"],
            buckets: workflowBuckets,
            registers,
        }),
        runEnds: new Counter({
            name: "jayfront_run_ends_total",
            help: "Runs of tasks that ended or were not started",
            labelNames: ["queue", "outcome"],
            registers,
        }),
        nearWaits: new Counter({
            name: "jayfront_near_waits_total",
            help: "Tasks that have waited for a place where they run faster, by outcome",
            labelNames: ["queue", "outcome"],
            registers,
        }),
        transferredTasks: new Counter({
            name: "jayfront_transferred_tasks_total",
            help: "Long-running tasks transferred to other cells, since their own had no room for them",
            labelNames: ["queue"],
            registers,
        }),
        storeCalls: new Counter({
            name: "jayfront_store_calls_total",
            help: "Calls to the store",
            labelNames: ["operation", "outcome"],
            registers,
        }),
        storeSeconds: new Histogram({
            name: "jayfront_store_call_seconds",
            help: "Seconds that answered calls to the store took",
            labelNames: ["operation"],
            buckets: requestBuckets,
            registers,
        }),
        storeTimeout: new Gauge({
            name: "jayfront_store_timeout_seconds",
            help: "Seconds after which the next call to the store counts as unanswered",
            registers,
        }),
        submissionGroups: new Histogram({
            name: "jayfront_submission_group_workflows",
            help: "Workflows stored by one transaction",
            buckets: groupBuckets,
            registers,
        }),
        workerCalls: new Counter({
            name: "jayfront_worker_calls_total",
            help: "Calls to workers",
            labelNames: ["order", "outcome"],
            registers,
        }),
        absenceSeconds: new Histogram({
            name: "jayfront_long_running_absence_seconds",
            help: "Seconds that parts of the time without a run of a long-running task took: detection of the loss, "
                + "proof that the old run is over, wait for room, and order",
            labelNames: ["part"],
            buckets: absenceBuckets,
            registers,
        }),
        passSeconds: new Histogram({
            name: "jayfront_placement_pass_seconds",
            help: "Seconds that parts of a placement pass took: its delay by other work of the process, and the pass",
            labelNames: ["part"],
            buckets: passBuckets,
            registers,
        }),
        paceChanges: new Counter({
            name: "jayfront_pace_changes_total",
            help: "Changes of the pace of tasks on spare processor time",
            labelNames: ["direction"],
            registers,
        }),
        slowWorkers: new Gauge({
            name: "jayfront_slow_workers",
            help: "Workers that were found slow and have not recovered",
            registers,
        }),
        cellChanges: new Counter({
            name: "jayfront_workflow_cell_changes_total",
            help: "Cells taken and lost",
            labelNames: ["change"],
            registers,
        }),
        configurationVersion: new Gauge({
            name: "jayfront_configuration_version",
            help: "Version of the configuration in force",
            registers,
        }),
        evacuatedDomainTasks: new Gauge({
            name: "jayfront_evacuated_domain_tasks",
            help: "Tasks that still run in failure domains that are to be evacuated",
            labelNames: ["domain"],
            registers,
        }),
        withdrawnStarts: new Counter({
            name: "jayfront_withdrawn_starts_total",
            help: "Starts not sent, since their failure domain is to be evacuated, or since that is not known",
            registers,
        }),
    };
};
