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

/** Figures of one run of one contender. */
export interface ScenarioFigures {
    /** Share of time windows in which the 99th percentile of the latency of answered requests met the target. */
    readonly withinTarget: number;
    /** 99th percentile of the latency over the whole run, as a ratio to the target. */
    readonly tailRatio: number;
    /** Share of all requests that were shed. */
    readonly shedShare: number;
    /** Core-seconds of finished batch work. */
    readonly throughput: number;
    /** Share of the jobs due within the run that ended by their deadlines; 1 if none were due. */
    readonly onTimeShare: number;
    /** Ids of the jobs that ended by their deadlines. */
    readonly onTimeJobs: readonly string[];
    /** Ids of the jobs due within the run, without cancelled ones. */
    readonly dueJobs: readonly string[];
    /** Evictions per finished task. */
    readonly evictionsPerTask: number;
    /** Share of all core-seconds spent on runs without result or checkpoint; runs of cancelled jobs are not wasted. */
    readonly wastedShare: number;
    /**
     * Lowest ratio of a waiting team's dominant share (of cores or of tail headroom) to the share that is due to it by
     * weight; at most 1.
     */
    readonly fairness: number;
    /** Highest number of tasks that a failing worker was given before its quarantine. */
    readonly failingWorkerStarts: number;
    /** Number of finished tasks. */
    readonly finishedTasks: number;
}

/** Length of a run in seconds. */
export const runSeconds = 180;
const windowSeconds = 5;
const fence: Fence = { epoch: 1, term: 1 };
const placementIntervalMs = 100;
const renewalIntervalMs = 200;
const reviewIntervalMs = 500;
const maxQueueLength = 64;
/** Core-seconds per second that the oracle completes under normal load, as a share of all batch cores. */
const oracleCapacity = 0.3;
/** Seconds that a team must have waited for its share to count. */
const minWaitingSeconds = 20;

interface BenchJob {
    readonly id: JobId;
    readonly work: BatchWork;
    readonly batchClass: BenchBatchClass;
    remaining: number;
    isCancelled: boolean;
    endedAt: number | undefined;
}

/** What a team's running tasks take, scaled by their throttle levels. */
interface TeamUsage {
    cores: number;
    /** Sum of the tasks' disturbances of the service. */
    headroom: number;
}

interface QueuedRequest {
    readonly arrivedAt: number;
}

/** Simulates `scenario` for one contender and seed, in fake time. */
export const simulateScenario = (
    workload: UserWorkload,
    scenario: Scenario,
    createContender: (context: ContenderContext) => Contender,
    seed: number,
): ScenarioFigures => {
    const clock = install({
        now: 0,
        toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "Date", "performance"],
    });
    try {
        const run = startRun(workload, scenario, createContender, seed);
        clock.tick(runSeconds * 1_000);
        return run.figures();
    }
    finally {
        clock.reset();
        clock.uninstall();
    }
};

const startRun = (
    workload: UserWorkload,
    scenario: Scenario,
    createContender: (context: ContenderContext) => Contender,
    seed: number,
): { figures: () => ScenarioFigures; } => {
    const random = xoroshiro128plus(seed);
    const arrivalRandom = xoroshiro128plus(seed + 1_000);
    const document = parseTomlDocument(workload.document, environmentDocument).unwrapOrElse(errors => {
        throw new Error(errors.map(error => error.message).join("; "));
    });
    const hidden = { ...workload.hidden, disturbance: { ...workload.hidden.disturbance } };
    const workers = createWorkers([{
        ...workload,
        failureDomain: "one",
        count: workload.workers,
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
    const workerNumbers = new Map(workers.map((worker, index) => [worker.id, index + 1]));
    const elapsedSeconds = (): number => performance.now() / 1_000;
    const jobs = new Map<JobId, BenchJob>();
    const placements = new Map<TaskId, Placement>();
    const evictions = new Map<TaskId, number>();
    const requestLoad = (): number => {
        const accounts = [...scheduler.accounts()];
        const slots = accounts.reduce((sum, account) => sum + account.worker().slots, 0);
        return accounts.reduce((sum, account) => sum + account.requestCount(), 0) / Math.max(1, slots);
    };
    const context: ContenderContext = {
        workload,
        document: () => document,
        requestLoad,
        elapsedSeconds,
        evictionsOf: task => evictions.get(task) ?? 0,
        laxityOf: task => {
            const job = jobs.get(parseTaskId(task).job);
            return job === undefined ? 0 : scheduler.laxity(job.work);
        },
        teamLevelFactor: team => scheduler.teamLevelFactor(team),
        hidden: {
            slowness: () => scenario.slowness?.(elapsedSeconds()) ?? 1,
            disturbance: batchClass => hidden.disturbance[`${workload.service}/${batchClass}`] ?? 0,
        },
    };
    const contender = createContender(context);
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
    const waitingUsage = new Map<string, TeamUsage & { allHeadroom: number; seconds: number; }>();
    const windowLatencies = new Map<number, Histogram>();
    const runLatencies = build();
    const failingWorkers = new Set([...machines.keys()].slice(0, scenario.failingWorkerCount ?? 0));
    const failingWorkerStarts = new Map<WorkerId, number>();
    const requestQueue: QueuedRequest[] = [];

    const recordLatency = (latency: number): void => {
        const windowIndex = Math.floor(elapsedSeconds() / windowSeconds);
        const histogram = windowLatencies.get(windowIndex) ?? build();
        histogram.recordValue(Math.max(1, Math.round(latency)));
        runLatencies.recordValue(Math.max(1, Math.round(latency)));
        windowLatencies.set(windowIndex, histogram);
    };
    const findFreestWorker = (): WorkerAccount | undefined => {
        let freestAccount: WorkerAccount | undefined;
        for (const account of scheduler.accounts()) {
            const isAvailable = contender.mayServe(workerNumbers.get(account.worker().id) ?? 0)
                && account.freeSlots() > 0;
            if (isAvailable && (freestAccount === undefined || account.freeSlots() > freestAccount.freeSlots())) {
                freestAccount = account;
            }
        }
        return freestAccount;
    };
    const dispatch = (request: QueuedRequest, account: WorkerAccount): void => {
        const worker = account.worker().id;
        const admitted = machines.get(worker)?.admit(fence, workload.service);
        if (admitted?.isOk !== true || !account.admitRequest()) {
            tally.shed += 1;
            return;
        }
        setTimeout(() => {
            admitted.value.end();
            account.endRequest();
            contender.recordRequest(worker, workload.service, admitted.value.latency);
            recordLatency(performance.now() - request.arrivedAt);
            admitWaiting();
        }, admitted.value.latency);
    };
    const admitWaiting = (): void => {
        while (requestQueue[0] !== undefined) {
            if (performance.now() - requestQueue[0].arrivedAt > contender.maxQueueWait()) {
                requestQueue.shift();
                tally.shed += 1;
                continue;
            }
            const account = findFreestWorker();
            if (account === undefined) {
                return;
            }
            const request = requestQueue.shift();
            if (request !== undefined) {
                dispatch(request, account);
            }
        }
    };
    const sendRequest = (): void => {
        tally.sent += 1;
        const request = { arrivedAt: performance.now() };
        const account = requestQueue.length === 0 ? findFreestWorker() : undefined;
        if (account !== undefined) {
            dispatch(request, account);
        }
        else if (requestQueue.length >= maxQueueLength) {
            tally.shed += 1;
        }
        else {
            requestQueue.push(request);
        }
    };
    const baseline = workload.hidden.services[workload.service] ?? { median: 1, spread: 1 };
    const scheduleArrival = (): void => {
        const load = scenario.load(elapsedSeconds());
        const meanLatency = baseline.median * 1.08 * (1 + 0.5 * Math.min(1, load));
        const ratePerMs = load * workload.workers * workload.slots / meanLatency;
        setTimeout(() => {
            sendRequest();
            scheduleArrival();
        }, -Math.log(Math.max(1e-9, uniformFloat64(arrivalRandom))) / ratePerMs);
    };

    const finishTask = (job: BenchJob, coreSeconds: number): void => {
        tally.finished += 1;
        tally.done += coreSeconds;
        job.remaining -= 1;
        if (job.remaining === 0) {
            job.endedAt = performance.now();
        }
    };
    const requeue = (job: BenchJob, pending: PendingTask): void => {
        if (!job.isCancelled) {
            scheduler.requeue(job.work.key, pending);
        }
    };
    const handleTaskEnd = (worker: WorkerId, ended: EndedTask): void => {
        const placement = placements.get(ended.task);
        scheduler.releaseTask(worker, ended.task);
        placements.delete(ended.task);
        const job = jobs.get(parseTaskId(ended.task).job);
        if (placement === undefined || job === undefined) {
            return;
        }
        const coreSeconds = ended.runTime / 1_000 * job.batchClass.cores;
        tally.spent += coreSeconds;
        tally.lost += ended.outcome === "finished" || ended.outcome === "checkpointed" || job.isCancelled
            ? 0
            : coreSeconds;
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
            requeue(job, { ...next, checkpoint: ended.checkpoint });
        }
        else {
            if (ended.outcome === "out-of-memory") {
                scheduler.recordOutOfMemory(job.work, placement.start.resources.memory);
            }
            requeue(job, next);
        }
    };
    const renewLeases = (): void => {
        for (const [worker, machine] of machines) {
            const status = machine.condition() === "up"
                ? machine.renew({ fence, acknowledged: [], endedAfter: 0, reportsFrom: Infinity })
                : undefined;
            if (status?.isOk !== true) {
                continue;
            }
            status.value.ended.forEach(ended => {
                handleTaskEnd(worker, ended);
            });
            machine.renew({ fence, acknowledged: status.value.ended, endedAfter: 0, reportsFrom: Infinity });
        }
    };
    const placeTasks = (): void => {
        for (const placement of scheduler.place(256, () => Infinity)) {
            placements.set(placement.task, placement);
            const startResult = machines.get(placement.worker)?.start(fence, [placement.start]);
            if (failingWorkers.has(placement.worker)) {
                failingWorkerStarts.set(placement.worker, (failingWorkerStarts.get(placement.worker) ?? 0) + 1);
            }
            if (startResult?.isOk !== true || startResult.value[0] !== undefined) {
                scheduler.releaseTask(placement.worker, placement.task);
                placements.delete(placement.task);
                scheduler.requeue(placement.work.key, placement.pending);
            }
        }
    };
    const review = (): void => {
        const orders = contender.review([...scheduler.accounts()]);
        for (const { worker, task, level } of orders.levels) {
            const heldTask = scheduler.account(worker)?.tasks.get(task);
            if (heldTask !== undefined && heldTask.level !== level) {
                machines.get(worker)?.throttle(fence, [{ task, attempt: heldTask.attempt }], level);
                heldTask.level = level;
            }
        }
        for (const { worker, task } of orders.evictions) {
            const heldTask = scheduler.account(worker)?.tasks.get(task);
            if (heldTask !== undefined) {
                machines.get(worker)?.checkpoint(fence, { task, attempt: heldTask.attempt });
            }
        }
    };

    let jobCount = 0;
    const submitJob = (name: string, batchClass: BenchBatchClass): void => {
        jobCount += 1;
        const id = jobId(`job-${String(jobCount)}`);
        const factor = scenario.hasWrongDeclarations === true ? (jobCount % 2 === 0 ? 10 : 0.1) : 1;
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
    const batchCores = workload.workers * (workload.cores - hidden.reserved.cores);
    for (const [name, batchClass] of Object.entries(workload.batchClasses)) {
        const coreSecondsPerJob = batchClass.taskCount * batchClass.actualRunTime * batchClass.cores;
        const jobsPerSecond = scenario.batchLoad * oracleCapacity * batchCores * batchClass.workShare
            / coreSecondsPerJob;
        submitJob(name, batchClass);
        setInterval(() => {
            submitJob(name, batchClass);
        }, 1_000 / jobsPerSecond);
    }
    const cancelHalfOfJobs = (): void => {
        const openJobs = [...jobs.values()].filter(job => job.remaining > 0);
        for (const job of openJobs.slice(0, Math.ceil(openJobs.length / 2))) {
            job.isCancelled = true;
            scheduler.removeWork(job.work.key);
            for (const account of scheduler.accounts()) {
                const tasks = [...account.tasks.values()].filter(task => parseTaskId(task.task).job === job.id);
                machines.get(account.worker().id)?.stop(fence, tasks);
            }
        }
    };
    const loseThirdOfWorkers = (): void => {
        for (const worker of [...machines.keys()].slice(0, Math.floor(workload.workers / 3))) {
            machines.get(worker)?.kill();
            const lostTasks = [...scheduler.account(worker)?.tasks.keys() ?? []];
            scheduler.removeWorker(worker);
            for (const task of lostTasks) {
                const placement = placements.get(task);
                const job = jobs.get(parseTaskId(task).job);
                if (placement !== undefined && job !== undefined) {
                    requeue(job, { ...placement.pending, attempt: placement.pending.attempt + 1 });
                }
            }
        }
    };
    const updateConditions = (): void => {
        for (const machine of machines.values()) {
            machine.slowness = scenario.slowness?.(elapsedSeconds()) ?? 1;
        }
        const factor = scenario.disturbance?.(elapsedSeconds()) ?? 1;
        for (const [pair, value] of Object.entries(workload.hidden.disturbance)) {
            hidden.disturbance[pair] = value * factor;
        }
    };
    for (const worker of failingWorkers) {
        const machine = machines.get(worker);
        if (machine !== undefined) {
            machine.failsEverything = true;
        }
    }
    scheduleArrival();
    setInterval(placeTasks, placementIntervalMs);
    setInterval(renewLeases, renewalIntervalMs);
    setInterval(review, reviewIntervalMs);
    setInterval(updateConditions, 1_000);
    if (scenario.cancelJobsAt !== undefined) {
        setTimeout(cancelHalfOfJobs, scenario.cancelJobsAt * 1_000);
    }
    if (scenario.loseWorkersAt !== undefined) {
        setTimeout(loseThirdOfWorkers, scenario.loseWorkersAt * 1_000);
    }

    const teams = [...new Set(Object.values(workload.batchClasses).map(batchClass => batchClass.team))];
    const hasPendingTasks = (team: string): boolean =>
        [...jobs.values()].some(job => job.batchClass.team === team && scheduler.pendingCountOf(job.work.key) > 0);
    /** Cores and, by the hidden disturbances, tail headroom that each team takes now. */
    const currentUsage = (): ReadonlyMap<string, TeamUsage> => {
        const usage = new Map<string, TeamUsage>(teams.map(team => [team, { cores: 0, headroom: 0 }]));
        for (const account of scheduler.accounts()) {
            for (const task of account.tasks.values()) {
                const { cores, headroom } = usage.get(task.team) ?? { cores: 0, headroom: 0 };
                usage.set(task.team, {
                    cores: cores + task.resources.cores * task.level,
                    headroom: headroom + context.hidden.disturbance(task.batchClass) * task.level,
                });
            }
        }
        return usage;
    };
    /** Adds up what each team takes while it has pending tasks; only then can it get less than its due. */
    const measureShares = (): void => {
        const usage = currentUsage();
        const allHeadroom = [...usage.values()].reduce((sum, share) => sum + share.headroom, 0);
        for (const team of teams.filter(hasPendingTasks)) {
            const teamUsage = usage.get(team) ?? { cores: 0, headroom: 0 };
            const total = waitingUsage.get(team) ?? { cores: 0, headroom: 0, allHeadroom: 0, seconds: 0 };
            total.cores += teamUsage.cores;
            total.headroom += teamUsage.headroom;
            total.allHeadroom += allHeadroom;
            total.seconds += 1;
            waitingUsage.set(team, total);
        }
    };
    /** Lowest ratio of dominant share to due share among the teams that waited for {@link minWaitingSeconds}. */
    const computeFairness = (): number => {
        const weightOf = (team: string): number => document.teams[team]?.weight ?? 1;
        const weights = teams.reduce((sum, team) => sum + weightOf(team), 0);
        return Math.min(
            1,
            ...[...waitingUsage].filter(([, { seconds }]) => seconds >= minWaitingSeconds).map(
                ([team, { cores, headroom, allHeadroom, seconds }]) => {
                    const dominantShare = Math.max(
                        cores / (batchCores * seconds),
                        headroom / Math.max(1e-9, allHeadroom),
                    );
                    return dominantShare / (weightOf(team) / weights);
                },
            ),
        );
    };
    setInterval(measureShares, 1_000);
    return {
        figures: () => {
            const windowTails = [...windowLatencies.values()].map(histogram => histogram.getValueAtPercentile(99));
            const now = performance.now();
            const due = [...jobs.values()].filter(job => job.work.deadline <= now && !job.isCancelled);
            const onTime = due.filter(job => job.endedAt !== undefined && job.endedAt <= job.work.deadline);
            return {
                withinTarget: windowTails.filter(tail => tail <= workload.targetMs).length / windowTails.length,
                tailRatio: runLatencies.getValueAtPercentile(99) / workload.targetMs,
                shedShare: tally.shed / tally.sent,
                throughput: tally.done,
                onTimeShare: due.length === 0 ? 1 : onTime.length / due.length,
                onTimeJobs: onTime.map(job => job.id),
                dueJobs: due.map(job => job.id),
                evictionsPerTask: tally.evicted / Math.max(1, tally.finished),
                wastedShare: tally.lost / Math.max(1, tally.spent),
                fairness: computeFairness(),
                failingWorkerStarts: Math.max(0, ...failingWorkerStarts.values()),
                finishedTasks: tally.finished,
            };
        },
    };
};
