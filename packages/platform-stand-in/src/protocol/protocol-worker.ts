import type { ProtocolAnswer, ProtocolCall, ProtocolHandler } from "./protocol-answer.js";
import { connectionLostStatus } from "./protocol-answer.js";
import type { ProtocolJournal } from "./protocol-journal.js";

/** How a task is simulated, as JSON in the payload of its workflow. */
export interface TaskScript {
    /** Run time in milliseconds. Default 500. */
    readonly work?: number;
    /** Run time in milliseconds by step, in place of `work`. */
    readonly workByStep?: readonly number[];
    /** Number of runs of a task that fail before one succeeds. Default 0. */
    readonly failures?: number;
    /** Length of the checkpoint that each run reports. Default 0: none. */
    readonly checkpointLength?: number;
    /** Whether the tasks are long-running: they run until they are stopped. Default false. */
    readonly isLasting?: boolean;
    /** Indices of the tasks that crash each worker which starts them. Default: none. */
    readonly crashing?: readonly number[];
}

/** Options of {@link createProtocolWorker}. */
export interface ProtocolWorkerOptions {
    readonly id: string;
    readonly failureDomain?: string;
    readonly journal: ProtocolJournal;
    /** Millicores that tasks may take together. */
    readonly cpu: number;
    /** Returns the millicores that a task takes, since orders do not contain its step. Default 0. */
    readonly cpuOf?: (task: string) => number;
    /** Number of started runs by task, shared by all workers. Default: this worker counts its own. */
    readonly startCounts?: Map<string, number>;
    /** Longest lease in milliseconds. */
    readonly longestLease: number;
    /** Milliseconds that the worker takes to stop a task. */
    readonly stopTime: number;
    /** Called when a task has crashed the worker. Default: the worker goes on. */
    readonly onCrash?: () => void;
}

/**
 * A simulated worker that implements the protocol of the platform's workers: it refuses tokens below the highest one
 * seen, has one deadline for all running tasks, and reports ends until they are acknowledged, at most 500 at a time.
 */
export interface ProtocolWorker {
    readonly id: string;
    /** Handles a call to the worker. */
    readonly handler: ProtocolHandler;
    /** Unix time in milliseconds at which the current incarnation started. */
    readonly bornAt: () => number;
    /** Returns the running tasks. */
    readonly running: () => readonly string[];
    /** Ends all tasks and loses all state, as in a crash with a restart. */
    readonly restart: () => void;
    /** Ends all tasks for good; the worker does not respond any more. */
    readonly kill: () => void;
    /** While true, every task that starts fails. */
    failsEverything: boolean;
    /** While true, every task that starts makes no progress and does not end by itself. */
    stallsEverything: boolean;
    /** Factor by which every task that starts takes longer; 1 at first. */
    slowness: number;
}

interface RunningTask {
    readonly task: string;
    readonly run: number;
    readonly startedAt: number;
    readonly work: number;
    readonly willFail: boolean;
    readonly isLasting: boolean;
    readonly isStalled: boolean;
    readonly checkpoint: string;
    readonly end: (how: string) => void;
}

interface StartBody {
    readonly task: string;
    readonly runNumber: number;
    readonly specification?: string;
    readonly deadlineMs?: number;
    readonly fencingToken?: number;
    /** See `ProtocolCall.sentAt`. */
    readonly sentAt?: number;
}

interface PollBody {
    readonly fencingToken?: number;
    readonly lastSeen?: number;
    readonly deadlineMs?: number;
    readonly waitMs?: number;
}

/** Reading in ms of a worker's clock at the start of each incarnation; a mix-up with monotonic time shows in tests. */
const firstReading = 400_000;
/** Milliseconds from the start of a task that crashes its worker to the crash. */
const timeToCrash = 10;
/** Default run time of a task in milliseconds. */
const defaultWork = 500;
/** Longest time in milliseconds for which a poll may wait. */
const longestWait = 2_000;
/** Ends in one answer to a poll; the next ones are listed once these are acknowledged. */
const maxListedEnds = 500;

/** Number of the step of a task, which is named ID.OCCURRENCE.STEP.INDEX. */
const stepOf = (task: string): number => Number(task.split(".")[2]);

/** Creates a worker that runs nothing. */
export const createProtocolWorker = (options: ProtocolWorkerOptions): ProtocolWorker => {
    const { id, failureDomain, journal, cpu, cpuOf = () => 0, longestLease, stopTime } = options;
    const startCounts = options.startCounts ?? new Map<string, number>();
    const running = new Map<string, RunningTask>();
    /** By task, the highest run that has ended or was stopped before it started; starts up to it are refused. */
    const highestClosedRuns = new Map<string, number>();
    /** Unacknowledged ends as in the report: number, task, run, outcome, checkpoint. */
    let finished: [number, string, number, string, string][] = [];
    /** Monotonic times in ms of the unacknowledged ends, by number. */
    const endTimes = new Map<number, number>();
    /** Monotonic time in ms at which the lease last expired. */
    let lapsedAt = -Infinity;
    let highestToken = 0;
    let deadline = 0;
    let nextEnd = 1;
    let incarnations = 0;
    let bornAt = Date.now();
    let isUp = true;
    let failsEverything = false;
    let stallsEverything = false;
    let slowness = 1;
    let wake: (() => void) | undefined;

    let startedAt = performance.now();

    const clock = (): number => Math.round(performance.now() - startedAt + firstReading);
    const answer = (status: number, body: object = {}): ProtocolAnswer => ({
        status,
        body: { clockMs: clock(), ...body },
    });
    const extendDeadline = (until: number | undefined): void => {
        if (until !== undefined) {
            deadline = Math.max(deadline, Math.min(until, clock() + longestLease));
            scheduleLapse();
        }
    };
    let lapseTimer: NodeJS.Timeout | undefined;
    const scheduleLapse = (): void => {
        clearTimeout(lapseTimer);
        lapseTimer = setTimeout(() => {
            lapsedAt = performance.now();
            [...running.values()].forEach(task => {
                task.end("lapsed");
            });
        }, deadline - clock());
    };
    const finishRun = (task: RunningTask, how: string): void => {
        if (running.get(task.task) !== task) {
            return;
        }
        running.delete(task.task);
        highestClosedRuns.set(task.task, Math.max(task.run, highestClosedRuns.get(task.task) ?? 0));
        finished.push([nextEnd, task.task, task.run, how, task.checkpoint]);
        endTimes.set(nextEnd, performance.now());
        nextEnd += 1;
        journal.record({ kind: "ended", at: performance.now(), worker: id, task: task.task, run: task.run, how });
        wake?.();
    };
    const usedCpu = (): number => [...running.keys()].reduce((sum, task) => sum + cpuOf(task), 0);
    const beginRun = ({ task, runNumber, specification = "", sentAt }: StartBody): void => {
        const script = JSON.parse(specification === "" ? "{}" : specification) as TaskScript;
        const earlierRuns = startCounts.get(task) ?? 0;
        const willFail = failsEverything || earlierRuns < (script.failures ?? 0);
        startCounts.set(task, earlierRuns + 1);
        const bornAtStart = bornAt;
        const started: RunningTask = {
            task,
            run: runNumber,
            startedAt: performance.now(),
            work: (script.workByStep?.[stepOf(task)] ?? script.work ?? defaultWork) * slowness,
            willFail,
            isLasting: script.isLasting === true,
            isStalled: stallsEverything,
            checkpoint: "c".repeat(script.checkpointLength ?? 0),
            end: how => {
                // Timers of an earlier incarnation have no effect.
                if (bornAtStart === bornAt) {
                    finishRun(started, how);
                }
            },
        };
        running.set(task, started);
        journal.record({
            kind: "started",
            at: performance.now(),
            worker: id,
            task,
            run: runNumber,
            ...(failureDomain === undefined ? {} : { failureDomain }),
            ...(sentAt === undefined ? {} : { sentAt }),
        });
        if (script.crashing?.includes(Number(task.split(".").at(-1))) === true) {
            setTimeout(() => {
                if (bornAtStart === bornAt) {
                    options.onCrash?.();
                }
            }, timeToCrash);
        }
        if (!started.isStalled && (!started.isLasting || willFail)) {
            setTimeout(() => {
                started.end(willFail ? "failed" : "done");
            }, started.work);
        }
    };
    const start = (body: StartBody): ProtocolAnswer => {
        const { task, runNumber, fencingToken = 0, deadlineMs } = body;
        if (fencingToken < highestToken) {
            return answer(409, { reason: "fence" });
        }
        highestToken = fencingToken;
        if (running.get(task)?.run === runNumber) {
            return answer(200);
        }
        if ((deadlineMs ?? 0) <= clock()) {
            return answer(409, { reason: "late" });
        }
        extendDeadline(deadlineMs);
        if (runNumber <= (highestClosedRuns.get(task) ?? 0) || running.has(task)) {
            return answer(409, { reason: "old" });
        }
        if (usedCpu() + cpuOf(task) > cpu) {
            return answer(409, { reason: "room" });
        }
        beginRun(body);
        return answer(200);
    };
    const stop = ({ task, runNumber, fencingToken = 0 }: StartBody): ProtocolAnswer => {
        if (fencingToken < highestToken) {
            return answer(409, { reason: "fence" });
        }
        highestToken = fencingToken;
        const target = running.get(task);
        if (target?.run === runNumber) {
            setTimeout(() => {
                target.end("stopped");
            }, stopTime);
        }
        else {
            highestClosedRuns.set(task, Math.max(runNumber, highestClosedRuns.get(task) ?? 0));
        }
        return answer(200);
    };
    const acknowledge = (lastSeen: number): void => {
        for (const [number, task, , how] of finished) {
            if (number <= lastSeen) {
                const endedAt = endTimes.get(number) ?? -Infinity;
                const hasLapsed = lapsedAt >= endedAt;
                journal.record({
                    kind: "acknowledged",
                    at: performance.now(),
                    worker: id,
                    task,
                    how,
                    endedAt,
                    hasLapsed,
                });
                endTimes.delete(number);
            }
        }
        finished = finished.filter(([number]) => number > lastSeen);
    };
    const progressOf = (task: RunningTask): number =>
        task.isStalled
            ? 0
            : task.isLasting
            ? 100
            : Math.min(99, Math.round((performance.now() - task.startedAt) / task.work * 100));
    const poll = async (
        { fencingToken = 0, lastSeen = 0, deadlineMs, waitMs = 0 }: PollBody,
    ): Promise<ProtocolAnswer> => {
        if (!Number.isInteger(waitMs) || waitMs > longestWait || !Number.isInteger(deadlineMs ?? 0)) {
            return answer(400);
        }
        if (fencingToken < highestToken) {
            return answer(409, { reason: "fence" });
        }
        highestToken = fencingToken;
        extendDeadline(deadlineMs);
        acknowledge(lastSeen);
        const incarnation = incarnations;
        if (waitMs > 0 && finished.length === 0) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, waitMs);
                wake = () => {
                    clearTimeout(timer);
                    resolve();
                };
            });
        }
        if (incarnation !== incarnations) {
            return { status: connectionLostStatus };
        }
        return answer(200, {
            born: bornAt,
            running: [...running.values()].map(task => [task.task, task.run, task.checkpoint, progressOf(task), 0]),
            finished: finished.slice(0, maxListedEnds),
        });
    };
    const endAll = (): void => {
        for (const task of running.values()) {
            const { task: name, run } = task;
            journal.record({ kind: "ended", at: performance.now(), worker: id, task: name, run, how: "crashed" });
        }
        running.clear();
        finished = [];
        endTimes.clear();
        highestClosedRuns.clear();
        highestToken = 0;
        deadline = 0;
        nextEnd = 1;
        incarnations += 1;
        // When a process ends, the connections of the calls that wait there are closed.
        wake?.();
    };
    const handlers: Record<string, (body: never) => ProtocolAnswer | Promise<ProtocolAnswer>> = {
        "/api/run-start": start,
        "/api/run-stop": stop,
        "/api/hold": poll,
        "/api/pace": () => answer(200),
    };
    const noAnswer = new Promise<ProtocolAnswer>(() => undefined);
    return {
        id,
        handler: ({ path, body, headers, sentAt }: ProtocolCall) => {
            if (!isUp) {
                return noAnswer;
            }
            const expected = headers["x-expected-instance"];
            return expected !== undefined && expected !== id
                ? { status: 421 }
                : handlers[path]?.({ ...body as object, sentAt } as never) ?? { status: 404 };
        },
        bornAt: () => bornAt,
        running: () => [...running.keys()],
        restart: () => {
            endAll();
            bornAt = Date.now();
            startedAt = performance.now();
        },
        kill: () => {
            endAll();
            isUp = false;
        },
        get failsEverything() {
            return failsEverything;
        },
        set failsEverything(value: boolean) {
            failsEverything = value;
        },
        get stallsEverything() {
            return stallsEverything;
        },
        set stallsEverything(value: boolean) {
            stallsEverything = value;
        },
        get slowness() {
            return slowness;
        },
        set slowness(value: number) {
            slowness = value;
        },
    };
};
