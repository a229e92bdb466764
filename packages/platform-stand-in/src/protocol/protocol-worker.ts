import type { ProtocolAnswer, ProtocolCall, ProtocolHandler } from "./protocol-answer.js";
import { connectionLostStatus } from "./protocol-answer.js";
import type { ProtocolJournal } from "./protocol-journal.js";

/** What a task does, written as JSON into the payload of its workflow. */
export interface TaskScript {
    /** Milliseconds of work. Default 500. */
    readonly work?: number;
    /** Runs that fail before one is done. Default 0. */
    readonly failures?: number;
    /** Whether tasks run until they are stopped. */
    readonly isLasting?: boolean;
}

/** Options of {@link createProtocolWorker}. */
export interface ProtocolWorkerOptions {
    readonly id: string;
    readonly journal: ProtocolJournal;
    /** Thousandths of cores. */
    readonly cpu: number;
    /** Thousandths of cores that a task of a payload takes; the stand-in does not know steps. Default 0. */
    readonly cpuOf?: (task: string) => number;
    /** Failed runs by task, over all workers. Default: counted by this worker alone. */
    readonly startCounts?: Map<string, number>;
    /** Longest lease in ms. */
    readonly longestLease: number;
    readonly stopTime: number;
}

/** A worker, by its protocol: highest token, one deadline for all that runs, ends until they are acknowledged. */
export interface ProtocolWorker {
    readonly id: string;
    readonly handler: ProtocolHandler;
    readonly bornAt: () => number;
    readonly running: () => readonly string[];
    /** Ends everything and forgets everything, as a crash with a restart does. */
    readonly restart: () => void;
    /** Ends everything for good; the worker answers nothing any more. */
    readonly kill: () => void;
    /** Fails everything that it starts. */
    failsEverything: boolean;
    /** What it starts stands still. */
    stallsEverything: boolean;
}

interface RunningTask {
    readonly task: string;
    readonly run: number;
    readonly startedAt: number;
    readonly work: number;
    readonly willFail: boolean;
    readonly isLasting: boolean;
    readonly isStill: boolean;
    readonly end: (how: string) => void;
}

interface StartBody {
    readonly task: string;
    readonly runNumber: number;
    readonly specification?: string;
    readonly deadlineMs?: number;
    readonly fencingToken?: number;
}

interface HoldBody {
    readonly fencingToken?: number;
    readonly lastSeen?: number;
    readonly deadlineMs?: number;
    readonly waitMs?: number;
}

/** Offset of a worker's clock from the steady clock of the process, so that the two are never mixed up. */
const clockOffset = 400_000;
const defaultWork = 500;

/** Creates a worker that runs nothing. */
export const createProtocolWorker = (options: ProtocolWorkerOptions): ProtocolWorker => {
    const { id, journal, cpu, cpuOf = () => 0, longestLease, stopTime } = options;
    const failures = options.startCounts ?? new Map<string, number>();
    const running = new Map<string, RunningTask>();
    const floors = new Map<string, number>();
    let finished: [number, string, number, string, string][] = [];
    let highestToken = 0;
    let deadline = 0;
    let nextEnd = 1;
    let lives = 0;
    let bornAt = Date.now();
    let isUp = true;
    let failsEverything = false;
    let standsStill = false;
    let wake: (() => void) | undefined;

    const clock = (): number => Math.round(performance.now() + clockOffset);
    const answer = (status: number, body: object = {}): ProtocolAnswer => ({
        status,
        body: { clockMs: clock(), ...body },
    });
    const extend = (until: number | undefined): void => {
        if (until !== undefined) {
            deadline = Math.max(deadline, Math.min(until, clock() + longestLease));
            scheduleLapse();
        }
    };
    let lapseTimer: NodeJS.Timeout | undefined;
    const scheduleLapse = (): void => {
        clearTimeout(lapseTimer);
        lapseTimer = setTimeout(() => {
            [...running.values()].forEach(task => {
                task.end("lapsed");
            });
        }, deadline - clock());
    };
    const finish = (task: RunningTask, how: string): void => {
        if (running.get(task.task) !== task) {
            return;
        }
        running.delete(task.task);
        floors.set(task.task, Math.max(task.run, floors.get(task.task) ?? 0));
        finished.push([nextEnd, task.task, task.run, how, ""]);
        nextEnd += 1;
        journal.record({ kind: "ended", at: performance.now(), worker: id, task: task.task, run: task.run, how });
        wake?.();
    };
    const usedCpu = (): number => [...running.keys()].reduce((sum, task) => sum + cpuOf(task), 0);
    const begin = ({ task, runNumber, specification = "" }: StartBody): void => {
        const script = JSON.parse(specification === "" ? "{}" : specification) as TaskScript;
        const failed = failures.get(task) ?? 0;
        const willFail = failsEverything || failed < (script.failures ?? 0);
        failures.set(task, failed + 1);
        const life = bornAt;
        const started: RunningTask = {
            task,
            run: runNumber,
            startedAt: performance.now(),
            work: script.work ?? defaultWork,
            willFail,
            isLasting: script.isLasting === true,
            isStill: standsStill,
            end: how => {
                if (life === bornAt) {
                    finish(started, how);
                }
            },
        };
        running.set(task, started);
        journal.record({ kind: "started", at: performance.now(), worker: id, task, run: runNumber });
        if (!started.isStill && (!started.isLasting || willFail)) {
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
        extend(deadlineMs);
        if (runNumber <= (floors.get(task) ?? 0) || running.has(task)) {
            return answer(409, { reason: "old" });
        }
        if (usedCpu() + cpuOf(task) > cpu) {
            return answer(409, { reason: "room" });
        }
        begin(body);
        return answer(200);
    };
    const stop = ({ task, runNumber, fencingToken = 0 }: StartBody): ProtocolAnswer => {
        if (fencingToken < highestToken) {
            return answer(409, { reason: "fence" });
        }
        highestToken = fencingToken;
        const found = running.get(task);
        if (found?.run === runNumber) {
            setTimeout(() => {
                found.end("stopped");
            }, stopTime);
        }
        else {
            floors.set(task, Math.max(runNumber, floors.get(task) ?? 0));
        }
        return answer(200);
    };
    const acknowledge = (lastSeen: number): void => {
        for (const [number, task, , how] of finished) {
            if (number <= lastSeen) {
                journal.record({ kind: "acknowledged", at: performance.now(), worker: id, task, how });
            }
        }
        finished = finished.filter(([number]) => number > lastSeen);
    };
    const progressOf = (task: RunningTask): number =>
        task.isStill
            ? 0
            : task.isLasting
            ? 100
            : Math.min(99, Math.round((performance.now() - task.startedAt) / task.work * 100));
    const hold = async (
        { fencingToken = 0, lastSeen = 0, deadlineMs, waitMs = 0 }: HoldBody,
    ): Promise<ProtocolAnswer> => {
        if (fencingToken < highestToken) {
            return answer(409, { reason: "fence" });
        }
        highestToken = fencingToken;
        extend(deadlineMs);
        acknowledge(lastSeen);
        const life = lives;
        if (waitMs > 0 && finished.length === 0) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, waitMs);
                wake = () => {
                    clearTimeout(timer);
                    resolve();
                };
            });
        }
        if (life !== lives) {
            return { status: connectionLostStatus };
        }
        return answer(200, {
            born: bornAt,
            running: [...running.values()].map(task => [task.task, task.run, "", progressOf(task), 0]),
            finished,
        });
    };
    const endAll = (): void => {
        for (const task of running.values()) {
            const { task: name, run } = task;
            journal.record({ kind: "ended", at: performance.now(), worker: id, task: name, run, how: "crashed" });
        }
        running.clear();
        finished = [];
        floors.clear();
        highestToken = 0;
        deadline = 0;
        nextEnd = 1;
        lives += 1;
        // The end of a process breaks off the calls that wait there.
        wake?.();
    };
    const doors: Record<string, (body: never) => ProtocolAnswer | Promise<ProtocolAnswer>> = {
        "/api/run-start": start,
        "/api/run-stop": stop,
        "/api/hold": hold,
        "/api/pace": () => answer(200),
    };
    const silence = new Promise<ProtocolAnswer>(() => undefined);
    return {
        id,
        handler: ({ path, body, headers }: ProtocolCall) => {
            if (!isUp) {
                return silence;
            }
            const expected = headers["x-expected-instance"];
            return expected !== undefined && expected !== id
                ? { status: 421 }
                : doors[path]?.(body as never) ?? { status: 404 };
        },
        bornAt: () => bornAt,
        running: () => [...running.keys()],
        restart: () => {
            endAll();
            bornAt = Date.now();
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
            return standsStill;
        },
        set stallsEverything(value: boolean) {
            standsStill = value;
        },
    };
};
