import type { WorkerMachine } from "@jayfront/platform-stand-in";
import { createJournal, createWorkerMachine, createWorkers } from "@jayfront/platform-stand-in";
import type { BatchWork, CellScheduler, PendingTask, Placement, WorkerAccount } from "@jayfront/policy";
import { createCellScheduler } from "@jayfront/policy";
import type { CheckpointId, EndedTask, Fence, JobId, TaskId, WorkerId } from "@jayfront/world";
import { environmentDocument, jobId, parseTaskId, parseTomlDocument } from "@jayfront/world";
import { install } from "@sinonjs/fake-timers";
import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { Contender, ContenderContext } from "./contender.js";
import type { Scenario } from "./scenario.js";
import type { BenchBatchClass, UserWorkload } from "./user-workload.js";

/** What one run of one contender showed. */
export interface ScenarioFigures {
    /** Share of windows in which the 99th percentile of answered requests was within the target. */
    readonly withinTarget: number;
    /** 99th percentile over the whole run, relative to the target. */
    readonly tailRatio: number;
    /** Requests turned away, as a share of all. */
    readonly shedShare: number;
    /** Core-seconds of finished batch work. */
    readonly throughput: number;
    /** Jobs due within the run that had ended by their deadlines, as a share. */
    readonly onTimeShare: number;
    readonly onTimeJobs: readonly string[];
    readonly dueJobs: readonly string[];
    /** Evictions by finished task. */
    readonly evictionsPerTask: number;
    /** Core-seconds of attempts that brought nothing, as a share of all. */
    readonly wastedShare: number;
    /** Worst waiting team's dominant share (cores or tail room), over its due by weight. */
    readonly fairness: number;
    /** Most tasks that a failing worker got before its quarantine. */
    readonly failingWorkerStarts: number;
    readonly finishedTasks: number;
}

/** Length of a run in seconds. */
export const runSeconds = 180;
const windowSeconds = 5;
const fence: Fence = { epoch: 1, term: 1 };
const placementInterval = 100;
const statusInterval = 200;
const reviewInterval = 500;
const queueLimit = 64;
/** Core-seconds a second that the oracle can do in a normal hour, as a share of all batch cores. */
const normalCapacity = 0.3;
/** Seconds that a team must have waited for its share to be judged. */
const waitingSeconds = 20;

interface BenchJob {
    readonly id: JobId;
    readonly work: BatchWork;
    readonly batchClass: BenchBatchClass;
    remaining: number;
    isCancelled: boolean;
    endedAt: number | undefined;
}

interface Taken {
    cores: number;
    room: number;
}

interface QueuedRequest {
    readonly arrivedAt: number;
}

/** Plays `scenario` for one contender and seed. */
export const simulateScenario = (
    world: UserWorkload,
    scenario: Scenario,
    createContender: (view: ContenderContext) => Contender,
    seed: number,
): ScenarioFigures => {
    const clock = install({
        now: 0,
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
    });
    try {
        const run = createRun(world, scenario, createContender, seed);
        clock.tick(runSeconds * 1_000);
        return run.figures();
    }
    finally {
        clock.reset();
        clock.uninstall();
    }
};

const createRun = (
    world: UserWorkload,
    scenario: Scenario,
    createContender: (view: ContenderContext) => Contender,
    seed: number,
): { figures: () => ScenarioFigures; } => {
    const random = xoroshiro128plus(seed);
    const arrivalRandom = xoroshiro128plus(seed + 1_000);
    const document = parseTomlDocument(world.document, environmentDocument).unwrapOrElse(mistakes => {
        throw new Error(mistakes.map(mistake => mistake.message).join("; "));
    });
    const hidden = { ...world.hidden, disturbance: { ...world.hidden.disturbance } };
    const workers = createWorkers([{
        ...world,
        failureDomain: "one",
        count: world.workers,
        accelerators: 0,
        connections: 64,
        rack: 8,
    }], () => "");
    const journal = createJournal({ capacity: 0 });
    const checkpoints = new Map<CheckpointId, number>();
    const machines = new Map<WorkerId, WorkerMachine>();
    for (const worker of workers) {
        const machine = createWorkerMachine({ worker, journal, hidden, random, checkpoints });
        machine.adopt({ fence, holder: "bench", lease: Infinity, taskLease: Infinity });
        machines.set(worker.id, machine);
    }
    const numbers = new Map(workers.map((worker, index) => [worker.id, index + 1]));
    const second = (): number => performance.now() / 1_000;
    const jobs = new Map<JobId, BenchJob>();
    const placements = new Map<TaskId, Placement>();
    const evictions = new Map<TaskId, number>();
    const loadOf = (): number => {
        const accounts = [...scheduler.accounts()];
        const slots = accounts.reduce((sum, account) => sum + account.worker().slots, 0);
        return accounts.reduce((sum, account) => sum + account.requestCount(), 0) / Math.max(1, slots);
    };
    const view: ContenderContext = {
        workload: world,
        document: () => document,
        requestLoad: loadOf,
        elapsedSeconds: second,
        evictionsOf: task => evictions.get(task) ?? 0,
        laxityOf: task => {
            const job = jobs.get(parseTaskId(task).job);
            return job === undefined ? 0 : scheduler.laxity(job.work);
        },
        teamLevelFactor: team => scheduler.teamLevelFactor(team),
        hidden: {
            slowness: () => scenario.slowness?.(second()) ?? 1,
            disturbance: batchClass => hidden.disturbance[`${world.service}/${batchClass}`] ?? 0,
        },
    };
    const contender = createContender(view);
    const scheduler: CellScheduler = createCellScheduler({
        document: () => document,
        random,
        score: contender.score,
        candidateCount: contender.candidateCount,
        ...(contender.canEverPlace === undefined ? {} : { canEverPlace: contender.canEverPlace }),
        ...(contender.tailHeadroomShare === undefined ? {} : { tailHeadroomShare: contender.tailHeadroomShare }),
    });
    for (const worker of workers) {
        scheduler.putWorker(worker);
        scheduler.setUsable(worker.id, true);
    }
    const tally = { sent: 0, shed: 0, finished: 0, evicted: 0, done: 0, spent: 0, lost: 0 };
    const waitingTeams = new Map<string, Taken & { allRoom: number; seconds: number; }>();
    const windows = new Map<number, Histogram>();
    const whole = build();
    const failing = new Set([...machines.keys()].slice(0, scenario.failingWorkerCount ?? 0));
    const failingStarts = new Map<WorkerId, number>();
    const queue: QueuedRequest[] = [];

    const recordLatency = (latency: number): void => {
        const window = Math.floor(second() / windowSeconds);
        const histogram = windows.get(window) ?? build();
        histogram.recordValue(Math.max(1, Math.round(latency)));
        whole.recordValue(Math.max(1, Math.round(latency)));
        windows.set(window, histogram);
    };
    const freest = (): WorkerAccount | undefined => {
        let best: WorkerAccount | undefined;
        for (const account of scheduler.accounts()) {
            const isOpen = contender.mayServe(numbers.get(account.worker().id) ?? 0) && account.freeSlots() > 0;
            if (isOpen && (best === undefined || account.freeSlots() > best.freeSlots())) {
                best = account;
            }
        }
        return best;
    };
    const dispatch = (request: QueuedRequest, account: WorkerAccount): void => {
        const worker = account.worker().id;
        const admitted = machines.get(worker)?.admit(fence, world.service);
        if (admitted?.isOk !== true || !account.admitRequest()) {
            tally.shed += 1;
            return;
        }
        setTimeout(() => {
            admitted.value.end();
            account.endRequest();
            contender.recordRequest(worker, world.service, admitted.value.latency);
            recordLatency(performance.now() - request.arrivedAt);
            pump();
        }, admitted.value.latency);
    };
    const pump = (): void => {
        while (queue[0] !== undefined) {
            if (performance.now() - queue[0].arrivedAt > contender.maxQueueWait()) {
                queue.shift();
                tally.shed += 1;
                continue;
            }
            const account = freest();
            if (account === undefined) {
                return;
            }
            const request = queue.shift();
            if (request !== undefined) {
                dispatch(request, account);
            }
        }
    };
    const sendRequest = (): void => {
        tally.sent += 1;
        const request = { arrivedAt: performance.now() };
        const account = queue.length === 0 ? freest() : undefined;
        if (account !== undefined) {
            dispatch(request, account);
        }
        else if (queue.length >= queueLimit) {
            tally.shed += 1;
        }
        else {
            queue.push(request);
        }
    };
    const alone = world.hidden.services[world.service] ?? { median: 1, spread: 1 };
    const scheduleArrival = (): void => {
        const load = scenario.load(second());
        const meanTime = alone.median * 1.08 * (1 + 0.5 * Math.min(1, load));
        const rate = load * world.workers * world.slots / meanTime;
        setTimeout(() => {
            sendRequest();
            scheduleArrival();
        }, -Math.log(Math.max(1e-9, uniformFloat64(arrivalRandom))) / rate);
    };

    const finishTask = (job: BenchJob, coreSeconds: number): void => {
        tally.finished += 1;
        tally.done += coreSeconds;
        job.remaining -= 1;
        if (job.remaining === 0) {
            job.endedAt = performance.now();
        }
    };
    const putBack = (job: BenchJob, pending: PendingTask): void => {
        if (!job.isCancelled) {
            scheduler.requeue(job.work.key, pending);
        }
    };
    const handleEnd = (worker: WorkerId, ended: EndedTask): void => {
        const placement = placements.get(ended.task);
        scheduler.releaseTask(worker, ended.task);
        placements.delete(ended.task);
        const job = jobs.get(parseTaskId(ended.task).job);
        if (placement === undefined || job === undefined) {
            return;
        }
        const spent = ended.runTime / 1_000 * job.batchClass.cores;
        tally.spent += spent;
        tally.lost += ended.outcome === "finished" || ended.outcome === "checkpointed" || job.isCancelled ? 0 : spent;
        const next = { ...placement.pending, attempt: placement.pending.attempt + 1 };
        if (ended.outcome === "finished" || ended.outcome === "failed") {
            scheduler.health.recordEnd(worker, job.id, ended.outcome === "failed");
        }
        if (ended.outcome === "finished") {
            scheduler.recordRunTime(job.work, ended.runTime / 1_000);
            scheduler.recordPeakMemory(job.work, ended.peakMemory);
            finishTask(job, job.batchClass.actualRunTime * job.batchClass.cores);
        }
        else if (ended.outcome === "checkpointed") {
            evictions.set(ended.task, (evictions.get(ended.task) ?? 0) + 1);
            tally.evicted += 1;
            putBack(job, { ...next, checkpoint: ended.checkpoint });
        }
        else {
            if (ended.outcome === "out-of-memory") {
                scheduler.recordOutOfMemory(job.work, placement.start.resources.memory);
            }
            putBack(job, next);
        }
    };
    const readStatus = (): void => {
        for (const [worker, machine] of machines) {
            const status = machine.condition() === "up"
                ? machine.renew({ fence, acknowledged: [], endedAfter: 0, reportsFrom: Infinity })
                : undefined;
            if (status?.isOk !== true) {
                continue;
            }
            status.value.ended.forEach(ended => {
                handleEnd(worker, ended);
            });
            machine.renew({ fence, acknowledged: status.value.ended, endedAfter: 0, reportsFrom: Infinity });
        }
    };
    const place = (): void => {
        for (const placement of scheduler.place(256, () => Infinity)) {
            placements.set(placement.task, placement);
            const answer = machines.get(placement.worker)?.start(fence, [placement.start]);
            if (failing.has(placement.worker)) {
                failingStarts.set(placement.worker, (failingStarts.get(placement.worker) ?? 0) + 1);
            }
            if (answer?.isOk !== true || answer.value[0] !== undefined) {
                scheduler.releaseTask(placement.worker, placement.task);
                placements.delete(placement.task);
                scheduler.requeue(placement.work.key, placement.pending);
            }
        }
    };
    const review = (): void => {
        const orders = contender.review([...scheduler.accounts()]);
        for (const { worker, task, level } of orders.levels) {
            const held = scheduler.account(worker)?.tasks.get(task);
            if (held !== undefined && held.level !== level) {
                machines.get(worker)?.throttle(fence, [{ task, attempt: held.attempt }], level);
                held.level = level;
            }
        }
        for (const { worker, task } of orders.evictions) {
            const held = scheduler.account(worker)?.tasks.get(task);
            if (held !== undefined) {
                machines.get(worker)?.checkpoint(fence, { task, attempt: held.attempt });
            }
        }
    };

    let nextJob = 0;
    const submitJob = (name: string, batchClass: BenchBatchClass): void => {
        nextJob += 1;
        const id = jobId(`job-${String(nextJob)}`);
        const factor = scenario.hasWrongDeclarations === true ? (nextJob % 2 === 0 ? 10 : 0.1) : 1;
        const work: BatchWork = {
            key: `${id}/0`,
            job: id,
            team: batchClass.team,
            batchClass: name,
            resources: { cores: batchClass.cores, memory: batchClass.actualMemory * factor, accelerators: 0 },
            runTime: batchClass.actualRunTime * factor,
            deadline: performance.now() + batchClass.secondsToDeadline * 1_000,
            payload: JSON.stringify({ work: batchClass.actualRunTime, memory: batchClass.actualMemory }),
        };
        jobs.set(id, { id, work, batchClass, remaining: batchClass.taskCount, isCancelled: false, endedAt: undefined });
        scheduler.addWork(
            work,
            [...Array(batchClass.taskCount).keys()]
                .map(index => ({ index, attempt: 1, checkpoint: undefined, evictions: 0, failedOn: [] })),
        );
    };
    const batchCores = world.workers * (world.cores - hidden.reserved.cores);
    for (const [name, batchClass] of Object.entries(world.batchClasses)) {
        const jobWork = batchClass.taskCount * batchClass.actualRunTime * batchClass.cores;
        const rate = scenario.batchLoad * normalCapacity * batchCores * batchClass.workShare / jobWork;
        submitJob(name, batchClass);
        setInterval(() => {
            submitJob(name, batchClass);
        }, 1_000 / rate);
    }
    const cancelHalf = (): void => {
        const open = [...jobs.values()].filter(job => job.remaining > 0);
        for (const job of open.slice(0, Math.ceil(open.length / 2))) {
            job.isCancelled = true;
            scheduler.removeWork(job.work.key);
            for (const account of scheduler.accounts()) {
                const tasks = [...account.tasks.values()].filter(task => parseTaskId(task.task).job === job.id);
                machines.get(account.worker().id)?.stop(fence, tasks);
            }
        }
    };
    const loseThird = (): void => {
        for (const worker of [...machines.keys()].slice(0, Math.floor(world.workers / 3))) {
            machines.get(worker)?.kill();
            const lost = [...scheduler.account(worker)?.tasks.keys() ?? []];
            scheduler.removeWorker(worker);
            for (const task of lost) {
                const placement = placements.get(task);
                const job = jobs.get(parseTaskId(task).job);
                if (placement !== undefined && job !== undefined) {
                    putBack(job, { ...placement.pending, attempt: placement.pending.attempt + 1 });
                }
            }
        }
    };
    const changeWorld = (): void => {
        for (const machine of machines.values()) {
            machine.slowness = scenario.slowness?.(second()) ?? 1;
        }
        const factor = scenario.disturbance?.(second()) ?? 1;
        for (const [pair, value] of Object.entries(world.hidden.disturbance)) {
            hidden.disturbance[pair] = value * factor;
        }
    };
    for (const worker of failing) {
        const machine = machines.get(worker);
        if (machine !== undefined) {
            machine.failsEverything = true;
        }
    }
    scheduleArrival();
    setInterval(place, placementInterval);
    setInterval(readStatus, statusInterval);
    setInterval(review, reviewInterval);
    setInterval(changeWorld, 1_000);
    if (scenario.cancelJobsAt !== undefined) {
        setTimeout(cancelHalf, scenario.cancelJobsAt * 1_000);
    }
    if (scenario.loseWorkersAt !== undefined) {
        setTimeout(loseThird, scenario.loseWorkersAt * 1_000);
    }

    const teams = [...new Set(Object.values(world.batchClasses).map(batchClass => batchClass.team))];
    const isWaiting = (team: string): boolean =>
        [...jobs.values()].some(job => job.batchClass.team === team && scheduler.pendingCountOf(job.work.key) > 0);
    /** What each team takes now of cores and, by the hidden pairs, of the tail room. */
    const takenNow = (): ReadonlyMap<string, Taken> => {
        const taken = new Map<string, Taken>(teams.map(team => [team, { cores: 0, room: 0 }]));
        for (const account of scheduler.accounts()) {
            for (const task of account.tasks.values()) {
                const { cores, room } = taken.get(task.team) ?? { cores: 0, room: 0 };
                taken.set(task.team, {
                    cores: cores + task.resources.cores * task.level,
                    room: room + view.hidden.disturbance(task.batchClass) * task.level,
                });
            }
        }
        return taken;
    };
    /** A team is short of its due only while it waits: in those seconds its share is added to what it got and was due. */
    const measureShares = (): void => {
        const taken = takenNow();
        const room = [...taken.values()].reduce((sum, share) => sum + share.room, 0);
        for (const team of teams.filter(isWaiting)) {
            const own = taken.get(team) ?? { cores: 0, room: 0 };
            const waiting = waitingTeams.get(team) ?? { cores: 0, room: 0, allRoom: 0, seconds: 0 };
            waiting.cores += own.cores;
            waiting.room += own.room;
            waiting.allRoom += room;
            waiting.seconds += 1;
            waitingTeams.set(team, waiting);
        }
    };
    /** Least dominant share over due share by weight, among teams that waited long enough to tell. */
    const fairness = (): number => {
        const weightOf = (team: string): number => document.teams[team]?.weight ?? 1;
        const weights = teams.reduce((sum, team) => sum + weightOf(team), 0);
        return Math.min(
            1,
            ...[...waitingTeams].filter(([, { seconds }]) => seconds >= waitingSeconds).map(
                ([team, { cores, room, allRoom, seconds }]) => {
                    const dominant = Math.max(cores / (batchCores * seconds), room / Math.max(1e-9, allRoom));
                    return dominant / (weightOf(team) / weights);
                },
            ),
        );
    };
    setInterval(measureShares, 1_000);
    return {
        figures: () => {
            const tails = [...windows.values()].map(histogram => histogram.getValueAtPercentile(99));
            const now = performance.now();
            const due = [...jobs.values()].filter(job => job.work.deadline <= now && !job.isCancelled);
            const onTime = due.filter(job => job.endedAt !== undefined && job.endedAt <= job.work.deadline);
            return {
                withinTarget: tails.filter(tail => tail <= world.targetMs).length / tails.length,
                tailRatio: whole.getValueAtPercentile(99) / world.targetMs,
                shedShare: tally.shed / tally.sent,
                throughput: tally.done,
                onTimeShare: due.length === 0 ? 1 : onTime.length / due.length,
                onTimeJobs: onTime.map(job => job.id),
                dueJobs: due.map(job => job.id),
                evictionsPerTask: tally.evicted / Math.max(1, tally.finished),
                wastedShare: tally.lost / Math.max(1, tally.spent),
                fairness: fairness(),
                failingWorkerStarts: Math.max(0, ...failingStarts.values()),
                finishedTasks: tally.finished,
            };
        },
    };
};
