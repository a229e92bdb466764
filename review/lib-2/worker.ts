import type { JsonAnswer, JsonCall } from "./serve-json.js";

/** What a task does, as JSON in the specification of its job. */
export interface TaskScript {
    /** Milliseconds that a task works; a task of a step that lasts works until it is stopped. */
    readonly work?: number;
    readonly lasts?: boolean;
}

/** Something that happened on a worker. */
export interface WorkerEvent {
    readonly kind: "started" | "ended" | "noted";
    readonly worker: string;
    readonly task: string;
    readonly run: number;
    readonly how?: string;
}

/** Options of {@link createWorker}. */
export interface WorkerOptions {
    readonly id: string;
    /** Tasks that the worker runs at a time; it rejects further ones. */
    readonly places: number;
    readonly longestLease: number;
    readonly stopTime: number;
    readonly onEvent: (event: WorkerEvent) => void;
}

/** One worker of the platform, as PROTOCOL.md describes it: its tasks, its lease and its list of ends. */
export interface Worker {
    readonly handle: (call: JsonCall) => JsonAnswer | Promise<JsonAnswer>;
    readonly bornAt: () => number;
    readonly running: () => readonly string[];
    /** Number of ends that the worker still lists. */
    readonly listedEnds: () => number;
    /** Ends the process: it runs and knows nothing afterwards. */
    readonly crash: () => void;
}

interface Running {
    readonly task: string;
    readonly run: number;
    readonly startedAt: number;
    readonly work: number;
    readonly lasts: boolean;
    timer: NodeJS.Timeout | undefined;
}

/** The worker's clock differs from those of its callers. */
const clockOffset = 250_000;
const listedAtOnce = 500;
const longestWait = 2_000;
const defaultWork = 500;

/** Creates a worker that has just started. */
export const createWorker = ({ id, places, longestLease, stopTime, onEvent }: WorkerOptions): Worker => {
    let running = new Map<string, Running>();
    let closedRuns = new Map<string, number>();
    let finished: (readonly [number, string, number, string, string])[] = [];
    let nextEnd = 1;
    let highestToken = 0;
    let leaseEnd = 0;
    let leaseTimer: NodeJS.Timeout | undefined;
    let bornAt = Date.now();
    const waiting = new Set<() => void>();

    const clock = (): number => Math.round(performance.now() + clockOffset);
    const reply = (status: number, body: object = {}): JsonAnswer => ({ status, body: { clockMs: clock(), ...body } });
    const close = (task: string, run: number): void => {
        closedRuns.set(task, Math.max(run, closedRuns.get(task) ?? 0));
    };
    const wakeAll = (): void => {
        [...waiting].forEach(wake => {
            wake();
        });
        waiting.clear();
    };
    const end = (entry: Running, how: string): void => {
        if (running.get(entry.task) !== entry) {
            return;
        }
        clearTimeout(entry.timer);
        running.delete(entry.task);
        close(entry.task, entry.run);
        finished.push([nextEnd, entry.task, entry.run, how, ""]);
        nextEnd += 1;
        onEvent({ kind: "ended", worker: id, task: entry.task, run: entry.run, how });
        wakeAll();
    };
    const extendLease = (deadline: unknown): void => {
        if (typeof deadline !== "number") {
            return;
        }
        leaseEnd = Math.max(leaseEnd, Math.min(deadline, clock() + longestLease));
        clearTimeout(leaseTimer);
        leaseTimer = setTimeout(() => {
            [...running.values()].forEach(entry => {
                end(entry, "lapsed");
            });
        }, leaseEnd - clock());
    };
    const isFenced = (body: JsonCall["body"]): boolean => {
        const token = Number(body["fencingToken"] ?? 0);
        const isLower = token < highestToken;
        highestToken = Math.max(highestToken, token);
        return isLower;
    };
    const start = (body: JsonCall["body"]): JsonAnswer => {
        const task = String(body["task"]);
        const run = Number(body["runNumber"]);
        if (isFenced(body)) {
            return reply(409, { reason: "fence" });
        }
        if (running.get(task)?.run === run) {
            return reply(200);
        }
        if (Number(body["deadlineMs"] ?? 0) <= clock()) {
            return reply(409, { reason: "late" });
        }
        extendLease(body["deadlineMs"]);
        if (running.has(task) || run <= (closedRuns.get(task) ?? 0)) {
            return reply(409, { reason: "old" });
        }
        if (running.size >= places) {
            return reply(409, { reason: "room" });
        }
        const specification = typeof body["specification"] === "string" ? body["specification"] : "{}";
        const script = JSON.parse(specification) as TaskScript;
        const entry: Running = {
            task,
            run,
            startedAt: performance.now(),
            work: script.work ?? defaultWork,
            lasts: script.lasts === true,
            timer: undefined,
        };
        running.set(task, entry);
        onEvent({ kind: "started", worker: id, task, run });
        if (!entry.lasts) {
            entry.timer = setTimeout(() => {
                end(entry, "done");
            }, entry.work);
        }
        return reply(200);
    };
    const stop = (body: JsonCall["body"]): JsonAnswer => {
        const task = String(body["task"]);
        const run = Number(body["runNumber"]);
        if (isFenced(body)) {
            return reply(409, { reason: "fence" });
        }
        const entry = running.get(task);
        if (entry?.run === run) {
            clearTimeout(entry.timer);
            entry.timer = setTimeout(() => {
                end(entry, "stopped");
            }, stopTime);
        }
        else {
            close(task, run);
        }
        return reply(200);
    };
    const percentOf = ({ lasts, startedAt, work }: Running): number =>
        lasts ? 100 : Math.min(99, Math.floor((performance.now() - startedAt) / work * 100));
    const hold = async (body: JsonCall["body"]): Promise<JsonAnswer> => {
        if (isFenced(body)) {
            return reply(409, { reason: "fence" });
        }
        extendLease(body["deadlineMs"]);
        const lastSeen = Number(body["lastSeen"] ?? 0);
        for (const [, task, run, how] of finished.filter(([number]) => number <= lastSeen)) {
            onEvent({ kind: "noted", worker: id, task, run, how });
        }
        finished = finished.filter(([number]) => number > lastSeen);
        const bornBefore = bornAt;
        const wait = Math.min(longestWait, Number(body["waitMs"] ?? 0));
        if (wait > 0 && finished.length === 0) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, wait);
                waiting.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
        return bornAt !== bornBefore ? undefined : reply(200, {
            born: bornAt,
            running: [...running.values()].map(entry => [entry.task, entry.run, "", percentOf(entry), 0]),
            finished: finished.slice(0, listedAtOnce),
        });
    };
    const handlers: Readonly<Record<string, (body: JsonCall["body"]) => JsonAnswer | Promise<JsonAnswer>>> = {
        "/api/run-start": start,
        "/api/run-stop": stop,
        "/api/hold": hold,
        "/api/pace": body => isFenced(body) ? reply(409, { reason: "fence" }) : reply(200),
    };
    return {
        handle: ({ path, body, headers }) => {
            const expected = headers["x-expected-instance"];
            return expected !== undefined && expected !== id ? { status: 421 } : handlers[path]?.(body);
        },
        bornAt: () => bornAt,
        running: () => [...running.keys()],
        listedEnds: () => finished.length,
        crash: () => {
            for (const entry of running.values()) {
                clearTimeout(entry.timer);
                onEvent({ kind: "ended", worker: id, task: entry.task, run: entry.run, how: "crashed" });
            }
            clearTimeout(leaseTimer);
            running = new Map();
            closedRuns = new Map();
            finished = [];
            nextEnd = 1;
            highestToken = 0;
            leaseEnd = 0;
            bornAt = Date.now();
            wakeAll();
        },
    };
};
