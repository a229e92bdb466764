import type { Adoption, Renewal, StartAnswer, TaskAttempt, WorkerStatus } from "@jayfront/platform";
import type {
    CheckpointId,
    EndedTask,
    Fence,
    Inventory,
    Resources,
    RunningTask,
    TaskId,
    TaskOutcome,
    TaskStart,
    Worker,
} from "@jayfront/world";
import { addResources, fitsResources } from "@jayfront/world";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { Result } from "true-myth";

import type { HiddenBehaviour } from "./hidden-behaviour.js";
import type { Journal } from "./journal.js";
import type { TaskRun } from "./task-run.js";
import { createTaskRun } from "./task-run.js";
import { createUsageRecorder } from "./usage-recorder.js";
import { readPayload } from "./util/read-payload.js";
import { uniform } from "./util/uniform.js";
import { createWorkerLease } from "./worker-lease.js";

/** Code of a refusal, such as `no-room`; `stale-fence` is followed by the current fence. */
export type Refusal = string;

/** Condition of a machine. A `paused` one does not respond until it is resumed; a `dead` one has lost its state. */
export type MachineCondition = "up" | "paused" | "dead";

/** A worker of the stand-in with its tasks, endpoints and lease. */
export interface WorkerMachine {
    readonly worker: () => Worker;
    readonly condition: () => MachineCondition;
    readonly adopt: (adoption: Adoption) => Result<Inventory, Refusal>;
    readonly renew: (renewal: Renewal) => Result<WorkerStatus, Refusal>;
    readonly start: (fence: Fence, tasks: readonly TaskStart[]) => Result<readonly StartAnswer[], Refusal>;
    readonly throttle: (fence: Fence, attempts: readonly TaskAttempt[], level: number) => Result<undefined, Refusal>;
    readonly checkpoint: (fence: Fence, attempt: TaskAttempt) => Result<CheckpointId, Refusal>;
    readonly stop: (fence: Fence, attempts: readonly TaskAttempt[]) => Result<undefined, Refusal>;
    /**
     * Admits a request, which the journal names `request`. Returns its latency in milliseconds and the function that
     * ends it.
     */
    readonly admit: (
        fence: Fence,
        service: string,
        request?: string,
    ) => Result<{ latency: number; end: () => void; }, Refusal>;
    /** Checkpoints and stops one running task by the platform's own decision, for example for maintenance. */
    readonly preemptOne: () => void;
    /** Ends all tasks and requests and loses all state, as in a power failure. */
    readonly kill: () => void;
    /** Starts a killed machine with empty memory. */
    readonly restart: () => void;
    readonly setPaused: (isPaused: boolean) => void;
    /** Refuses new tasks and requests from now on. */
    readonly setDraining: () => void;
    /** While true, every task that starts fails. */
    failsEverything: boolean;
    /** Factor on the latency of all services, for a slowdown that no pair of service and batch class explains. */
    slowness: number;
}

/** Options of {@link createWorkerMachine}. */
export interface WorkerMachineOptions {
    readonly worker: Worker;
    readonly journal: Journal;
    readonly hidden: HiddenBehaviour;
    readonly random: RandomGenerator;
    /** Seconds of completed work of each checkpoint; shared by all machines. */
    readonly checkpoints: Map<CheckpointId, number>;
    /** Milliseconds between the end of a usage window and its report. Default 2,000. */
    readonly reportLag?: number;
    /** Deliberate fault: accepts commands under any fence. Default false. */
    readonly ignoresFence?: boolean;
}

/** Seconds of work after which a task that fails ends. */
const failureDelaySeconds = 0.05;
/** Milliseconds between checks whether the lease of the tasks has expired. */
const leaseCheckInterval = 1_000;
/** 99th percentile of the standard normal distribution. */
const normalTailDeviation = 2.326;

/** Creates a machine that is up and not adopted. */
export const createWorkerMachine = (options: WorkerMachineOptions): WorkerMachine => {
    const { journal, hidden, random, checkpoints, ignoresFence = false } = options;
    let worker = options.worker;
    let condition: MachineCondition = "up";
    let restarts = 0;
    let lease = createWorkerLease({ ignoresFence });
    let runs = new Map<TaskId, TaskRun & { attempt: number; }>();
    let ended = new Map<string, EndedTask>();
    let endedCount = 0;
    let requests = new Map<object, Fence>();
    let startedAttempts = new Map<TaskId, number>();

    const batchLevels = (): Record<string, number> => {
        const levels: Record<string, number> = {};
        for (const run of runs.values()) {
            levels[run.start.batchClass] = (levels[run.start.batchClass] ?? 0) + run.level();
        }
        return levels;
    };
    const createRecorder = (): ReturnType<typeof createUsageRecorder> =>
        createUsageRecorder({
            batch: batchLevels,
            ...(options.reportLag === undefined ? {} : { lag: options.reportLag }),
        });
    let recorder = createRecorder();

    const refuse = (subject: string, code: string): Refusal => {
        journal.record("refused", worker.id, subject, code.split(" ")[0] ?? code);
        return code;
    };
    const staleFence = (): string => `stale-fence ${String(lease.fence().epoch)}.${String(lease.fence().term)}`;
    const usedResources = (): Resources =>
        [...runs.values()].reduce<Resources>((sum, run) => addResources(sum, run.start.resources), hidden.reserved);

    const endRun = (task: TaskId, outcome: TaskOutcome, checkpoint?: CheckpointId): void => {
        const run = runs.get(task);
        if (run === undefined) {
            return;
        }
        run.halt();
        runs.delete(task);
        const runTime = performance.now() - run.startedAt;
        const { memory: allocated } = run.start.resources;
        const peakMemory = Math.min(allocated, readPayload(run.start.payload).memory ?? allocated);
        endedCount += 1;
        const sequence = endedCount;
        ended.set(`${task}#${String(run.attempt)}`, {
            sequence,
            task,
            attempt: run.attempt,
            outcome,
            checkpoint,
            runTime,
            peakMemory,
        });
        journal.record("task-ended", worker.id, task, outcome);
    };
    const checkpointRun = (task: TaskId, run: TaskRun & { attempt: number; }): CheckpointId => {
        const name = `${task}#${String(run.attempt)}@${worker.id}` as CheckpointId;
        checkpoints.set(name, run.progress());
        endRun(task, "checkpointed", name);
        return name;
    };
    const startOne = (start: TaskStart): StartAnswer => {
        if (worker.state === "leaving") {
            return refuse(start.task, "leaving");
        }
        const latest = startedAttempts.get(start.task) ?? 0;
        const running = runs.get(start.task);
        if (running?.attempt === start.attempt) {
            return undefined;
        }
        if (start.attempt <= latest || running !== undefined) {
            journal.record("breach", worker.id, start.task, "attempt-repeated");
            return refuse(start.task, "attempt-repeated");
        }
        if (!fitsResources(start.resources, addResources(worker.resources, usedResources(), -1))) {
            journal.record("breach", worker.id, start.task, "over-commit");
            return refuse(start.task, "no-room");
        }
        runTask(start);
        return undefined;
    };
    const runTask = (start: TaskStart): void => {
        const payload = readPayload(start.payload);
        const isOutOfMemory = (payload.memory ?? 0) > start.resources.memory;
        const isFailing = machine.failsEverything || uniform(random) < (payload.failing ?? 0);
        const initialProgress = start.checkpoint === undefined ? 0 : checkpoints.get(start.checkpoint) ?? 0;
        const outcome: TaskOutcome = isOutOfMemory ? "out-of-memory" : isFailing ? "failed" : "finished";
        startedAttempts.set(start.task, start.attempt);
        journal.record("task-started", worker.id, start.task, String(start.attempt));
        if (start.checkpoint !== undefined) {
            journal.record("task-resumed", worker.id, start.task, start.checkpoint);
        }
        const run = createTaskRun({
            start,
            work: outcome === "finished" ? payload.work ?? 1 : initialProgress + failureDelaySeconds,
            initialProgress,
            outcome,
            onEnd: result => {
                endRun(start.task, result);
            },
        });
        runs.set(start.task, { ...run, attempt: start.attempt });
    };
    const checkpointLapsedTasks = (): void => {
        if (condition === "up" && lease.hasTaskLeaseLapsed()) {
            for (const [task, run] of runs) {
                checkpointRun(task, run);
            }
        }
    };
    const requestLatency = (service: string): number => {
        const { median, spread } = hidden.services[service] ?? { median: 20, spread: 2 };
        const load = requests.size / Math.max(1, worker.slots);
        const disturbance = Object.entries(batchLevels())
            .reduce((sum, [name, level]) => sum + (hidden.disturbance[`${service}/${name}`] ?? 0) * level, 0);
        // Box-Muller transform; the lower bound keeps the logarithm finite.
        const deviation = Math.sqrt(-2 * Math.log(Math.max(1e-12, uniform(random))))
            * Math.cos(2 * Math.PI * uniform(random));
        const undisturbed = median * Math.exp(deviation * Math.log(spread) / normalTailDeviation);
        return undisturbed * (1 + 0.5 * load) * (1 + disturbance * (1 + load)) * machine.slowness;
    };
    const loseState = (): void => {
        journal.record("machine-lost", worker.id, "", "");
        for (const run of runs.values()) {
            run.halt();
            journal.record("task-ended", worker.id, run.start.task, "lost");
        }
        lease = createWorkerLease({ ignoresFence });
        runs = new Map();
        ended = new Map();
        endedCount = 0;
        requests = new Map();
        startedAttempts = new Map();
        recorder = createRecorder();
    };
    const listRunning = (): readonly RunningTask[] =>
        [...runs.values()].map(run => ({
            ...run.start,
            age: performance.now() - run.startedAt,
            level: run.level(),
        }));
    const countForeign = (): number =>
        [...requests.values()].filter(fence => fence.epoch !== lease.fence().epoch || fence.term !== lease.fence().term)
            .length;
    const withRun = <Value>(
        fence: Fence,
        attempt: TaskAttempt,
        act: (run: TaskRun & { attempt: number; }) => Value,
    ): Result<Value, Refusal> => {
        if (!lease.isCurrent(fence)) {
            return Result.err(refuse(attempt.task, staleFence()));
        }
        const run = runs.get(attempt.task);
        return run?.attempt === attempt.attempt ? Result.ok(act(run)) : Result.err(refuse(attempt.task, "not-running"));
    };

    const machine: WorkerMachine = {
        failsEverything: false,
        slowness: 1,
        worker: () => worker,
        condition: () => condition,
        adopt: adoption => {
            const refusal = lease.adopt(adoption);
            if (refusal !== undefined) {
                return Result.err(refuse("adopt", refusal));
            }
            return Result.ok({
                worker: worker.id,
                incarnation: `${worker.id}-${String(restarts)}`,
                fence: lease.fence(),
                running: listRunning(),
                ended: [...ended.values()],
                foreignRequests: countForeign(),
                state: worker.state,
            });
        },
        renew: ({ fence, acknowledged, endedAfter, reportsFrom }) => {
            const refusal = lease.renew(fence);
            if (refusal !== undefined) {
                return Result.err(refuse("renew", refusal));
            }
            for (const { task, attempt } of acknowledged) {
                ended.delete(`${task}#${String(attempt)}`);
            }
            return Result.ok({
                running: listRunning(),
                ended: [...ended.values()].filter(entry => entry.sequence > endedAfter),
                foreignRequests: countForeign(),
                reports: recorder.reports(reportsFrom),
                state: worker.state,
            });
        },
        start: (fence, tasks) =>
            lease.isCurrent(fence)
                ? Result.ok(tasks.map(startOne))
                : Result.err(refuse("start", staleFence())),
        throttle: (fence, attempts, level) => {
            if (!lease.isCurrent(fence)) {
                return Result.err(refuse("throttle", staleFence()));
            }
            for (const { task, attempt } of attempts) {
                const run = runs.get(task);
                if (run?.attempt === attempt) {
                    run.setLevel(level);
                }
            }
            return Result.ok(undefined);
        },
        checkpoint: (fence, attempt) => withRun(fence, attempt, run => checkpointRun(attempt.task, run)),
        stop: (fence, attempts) => {
            if (!lease.isCurrent(fence)) {
                return Result.err(refuse("stop", staleFence()));
            }
            for (const { task, attempt } of attempts) {
                if (runs.get(task)?.attempt === attempt) {
                    endRun(task, "stopped");
                }
            }
            return Result.ok(undefined);
        },
        admit: (fence, service, request = "") => {
            if (!lease.isCurrent(fence)) {
                return Result.err(refuse(service, staleFence()));
            }
            if (worker.state === "leaving") {
                return Result.err(refuse(service, "leaving"));
            }
            if (requests.size >= worker.slots) {
                journal.record("breach", worker.id, service, "over-commit");
                return Result.err(refuse(service, "no-slot"));
            }
            const key = {};
            const requestsAtAdmission = requests;
            requestsAtAdmission.set(key, fence);
            journal.record("request-admitted", worker.id, service, request);
            const latency = requestLatency(service);
            return Result.ok({
                latency,
                end: () => {
                    if (requestsAtAdmission.delete(key)) {
                        recorder.recordRequest(service, latency);
                        journal.record("request-ended", worker.id, service, request);
                    }
                },
            });
        },
        preemptOne: () => {
            for (const [task, run] of runs) {
                checkpointRun(task, run);
                return;
            }
        },
        kill: () => {
            loseState();
            condition = "dead";
        },
        restart: () => {
            loseState();
            restarts += 1;
            condition = "up";
        },
        setPaused: isPaused => {
            condition = isPaused ? "paused" : "up";
        },
        setDraining: () => {
            worker = { ...worker, state: "leaving" };
        },
    };
    setInterval(checkpointLapsedTasks, leaseCheckInterval).unref();
    return machine;
};
