import type { CaseRecord } from "./record.js";
import type { Answer, Call } from "./serve.js";

/** How a task behaves, as JSON in the specification of its job. */
export interface TaskScript {
    /** Milliseconds that a run works, by the number of its step. */
    readonly work: readonly number[];
    /** Length of the checkpoints that a run produces; 0 for none. */
    readonly checkpointLength?: number;
    /** Whether the task runs until it is stopped. */
    readonly isLasting?: boolean;
}

/** Something that a worker has seen. */
export interface WorkerEvent {
    readonly at: number;
    readonly worker: string;
    readonly kind: "started" | "ended" | "noted" | "crashed";
    readonly task: string;
    readonly run: number;
    /** How the run ended; empty for a start. */
    readonly how: string;
}

/** Options of {@link createWorker}. */
export interface WorkerOptions {
    readonly id: string;
    readonly record: CaseRecord;
    /** Receives what the worker has seen. */
    readonly events: WorkerEvent[];
    /** Millicores and megabytes. */
    readonly capacity: { readonly cpu: number; readonly memory: number; };
    /** What a task takes, since orders don't tell. */
    readonly requestOf: (task: string) => { readonly cpu: number; readonly memory: number; };
    /** `maxHoldMs`. */
    readonly longestLease: number;
    /** `stopTimeoutMs`. */
    readonly stopTime: number;
}

/** A worker as the platform's pages describe it. It guards its capacity. */
export interface Worker {
    readonly id: string;
    readonly handle: (call: Call) => Answer | Promise<Answer>;
    readonly bornAt: () => number;
    readonly isUp: () => boolean;
    readonly runningTasks: () => readonly string[];
    /** Ends the process: everything that it runs and knows is gone. It answers nothing until `restart`. */
    readonly crash: () => void;
    /** Starts the worker again under its id, with nothing known. */
    readonly restart: () => void;
}

interface Run {
    readonly task: string;
    readonly run: number;
    readonly startedAt: number;
    readonly script: TaskScript;
    checkpoint: string;
    timer: NodeJS.Timeout | undefined;
}

interface OrderBody {
    readonly task: string;
    readonly runNumber: number;
    readonly specification?: string;
    readonly checkpoint?: string;
    readonly deadlineMs?: number;
    readonly fencingToken?: number;
}

interface HoldBody {
    readonly fencingToken?: number;
    readonly lastSeen?: number;
    readonly deadlineMs?: number;
    readonly waitMs?: number;
}

type EndRow = readonly [number: number, task: string, run: number, how: string, saved: string];

/** Ends that a worker returns at a time, as the pages say. */
const endsAtATime = 500;
/** Share of the longest time that a stop may take which it takes here. */
const stopShare = 0.9;
/** `checkpointIntervalS`, in milliseconds. */
const checkpointInterval = 2_000;

/** Creates a worker that runs nothing. */
export const createWorker = (options: WorkerOptions): Worker => {
    const { id, record, events, capacity, requestOf, longestLease, stopTime } = options;
    let running = new Map<string, Run>();
    let ends: EndRow[] = [];
    let closedRuns = new Map<string, number>();
    let highestToken = 0;
    let deadline = 0;
    let nextEnd = 1;
    let bornAt = Date.now();
    let startedAt = performance.now();
    let isUp = true;
    let lapseTimer: NodeJS.Timeout | undefined;
    let wakes: (() => void)[] = [];

    const clock = (): number => Math.round(performance.now() - startedAt + 1_000);
    const answer = (status: number, body: object = {}): Answer => ({ status, body: { clockMs: clock(), ...body } });
    const note = (kind: WorkerEvent["kind"], task: string, run: number, how = ""): void => {
        events.push({ at: performance.now(), worker: id, kind, task, run, how });
        record.add(`${id} ${kind} ${task} run ${String(run)} ${how}`);
    };
    const end = (target: Run, how: string): void => {
        if (running.get(target.task) !== target) {
            return;
        }
        running.delete(target.task);
        clearTimeout(target.timer);
        closedRuns.set(target.task, Math.max(target.run, closedRuns.get(target.task) ?? 0));
        ends.push([nextEnd, target.task, target.run, how, target.checkpoint]);
        nextEnd += 1;
        note("ended", target.task, target.run, how);
        wakes.splice(0).forEach(wake => {
            wake();
        });
    };
    const extend = (until: number | undefined): void => {
        if (until === undefined) {
            return;
        }
        deadline = Math.max(deadline, Math.min(until, clock() + longestLease));
        clearTimeout(lapseTimer);
        lapseTimer = setTimeout(() => {
            [...running.values()].forEach(run => {
                end(run, "lapsed");
            });
        }, deadline - clock());
    };
    const isFenced = (token = 0): boolean => {
        const fenced = token < highestToken;
        highestToken = Math.max(highestToken, token);
        return fenced;
    };
    const hasRoom = (task: string): boolean => {
        const wanted = [...running.keys(), task].map(requestOf);
        return wanted.reduce((sum, { cpu }) => sum + cpu, 0) <= capacity.cpu
            && wanted.reduce((sum, { memory }) => sum + memory, 0) <= capacity.memory;
    };
    /** Tasks are named ID.OCCURRENCE.STEP.INDEX. */
    const workOf = ({ task, script }: Run): number => script.work[Number(task.split(".")[2])] ?? 0;
    const start = ({ task, runNumber, specification = "", checkpoint = "", ...order }: OrderBody): Answer => {
        if (isFenced(order.fencingToken)) {
            return answer(409, { reason: "fence" });
        }
        const present = running.get(task);
        if (present?.run === runNumber) {
            return answer(200);
        }
        if ((order.deadlineMs ?? 0) <= clock()) {
            return answer(409, { reason: "late" });
        }
        extend(order.deadlineMs);
        if (present !== undefined || runNumber <= (closedRuns.get(task) ?? 0)) {
            return answer(409, { reason: "old" });
        }
        if (!hasRoom(task)) {
            return answer(409, { reason: "room" });
        }
        const script = JSON.parse(specification) as TaskScript;
        const run: Run = {
            task,
            run: runNumber,
            startedAt: performance.now(),
            script,
            checkpoint,
            timer: undefined,
        };
        running.set(task, run);
        note("started", task, runNumber);
        if (script.isLasting !== true) {
            run.timer = setTimeout(() => {
                end(run, "done");
            }, workOf(run));
        }
        return answer(200);
    };
    const stop = ({ task, runNumber, fencingToken }: OrderBody): Answer => {
        if (isFenced(fencingToken)) {
            return answer(409, { reason: "fence" });
        }
        const target = running.get(task);
        if (target?.run === runNumber) {
            setTimeout(() => {
                end(target, "stopped");
            }, stopTime * stopShare);
        }
        else {
            closedRuns.set(task, Math.max(runNumber, closedRuns.get(task) ?? 0));
        }
        return answer(200);
    };
    const checkpointOf = (run: Run, now: number): string => {
        const saves = Math.floor((now - run.startedAt) / checkpointInterval);
        if (saves > 0 && (run.script.checkpointLength ?? 0) > 0) {
            run.checkpoint = String(saves).padStart(run.script.checkpointLength ?? 0, "0");
        }
        return run.checkpoint;
    };
    const percentOf = (run: Run, now: number): number =>
        run.script.isLasting === true ? 100 : Math.min(99, Math.round((now - run.startedAt) / workOf(run) * 100));
    const hold = async ({ fencingToken, lastSeen = 0, deadlineMs, waitMs = 0 }: HoldBody): Promise<Answer> => {
        if (isFenced(fencingToken)) {
            return answer(409, { reason: "fence" });
        }
        extend(deadlineMs);
        ends.filter(([number]) => number <= lastSeen).forEach(([, task, run, how]) => {
            note("noted", task, run, how);
        });
        ends = ends.filter(([number]) => number > lastSeen);
        const life = bornAt;
        if (waitMs > 0 && ends.length === 0) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, waitMs);
                wakes.push(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
        if (!isUp || life !== bornAt) {
            return "drop";
        }
        const now = performance.now();
        const rows = [...running.values()].map(run => [
            run.task,
            run.run,
            checkpointOf(run, now),
            percentOf(run, now),
            0,
        ]);
        return answer(200, { born: bornAt, running: rows, finished: ends.slice(0, endsAtATime) });
    };
    const handlers: Readonly<Record<string, (body: never) => Answer | Promise<Answer>>> = {
        "/api/run-start": start,
        "/api/run-stop": stop,
        "/api/hold": hold,
        "/api/pace": () => answer(200),
    };
    return {
        id,
        handle: ({ path, body, headers }) => {
            if (!isUp) {
                return "drop";
            }
            return headers["x-expected-instance"] === id
                ? handlers[path]?.(body as never) ?? { status: 404 }
                : { status: 421 };
        },
        bornAt: () => bornAt,
        isUp: () => isUp,
        runningTasks: () => [...running.keys()],
        crash: () => {
            isUp = false;
            clearTimeout(lapseTimer);
            running.forEach(run => {
                clearTimeout(run.timer);
                note("crashed", run.task, run.run);
            });
            running = new Map();
            ends = [];
            record.add(`${id} crashed`);
            wakes.splice(0).forEach(wake => {
                wake();
            });
        },
        restart: () => {
            isUp = true;
            closedRuns = new Map();
            highestToken = 0;
            deadline = 0;
            nextEnd = 1;
            bornAt = Math.max(Date.now(), bornAt + 1);
            startedAt = performance.now();
            wakes = [];
            record.add(`${id} restarted`);
        },
    };
};
