import { sleep } from "@jayfront/world";

import type { LocalCluster, LocalHost } from "../cluster/local-cluster.js";
import { startCallerLoad } from "../promises/caller-load.js";
import { checkJournal } from "../promises/check-journal.js";
import type { Violation } from "../promises/promise.js";
import type { FakeTime } from "../util/fake-time.js";
import { installFakeTime } from "../util/fake-time.js";
import type { MatrixFaultContext } from "./matrix-cluster.js";
import { createMatrixCluster, faultedDomain, matrixDocument } from "./matrix-cluster.js";
import { matrixFaults } from "./matrix-faults.js";
import type { MatrixEvent } from "./matrix-steps.js";
import { matrixSteps } from "./matrix-steps.js";

/** One cell of the matrix, or a pair of faults at one step. */
export interface FaultCase {
    readonly faults: readonly string[];
    readonly step: string;
    readonly seed: number;
}

/** What a cell showed. */
export interface FaultCaseResult {
    /** Whether the step came about, so that the faults struck. */
    readonly hasInjectedFaults: boolean;
    readonly violations: readonly Violation[];
}

const settleTime = 6_000;
const busyTime = 60_000;
const quietTime = 90_000;
const configurationLimit = 6_000;
const watchInterval = 250;

const pathJob = (tasks: number, work: number, idempotent: boolean): object => ({
    team: "bulk",
    batchClass: "path",
    tasks,
    resources: { cores: 2, memory: 2 },
    runTime: work,
    idempotent,
    payload: JSON.stringify({ work }),
});

/** Watches versions: none may fall, and an accepted one must be in force everywhere once nothing is broken. */
const watchConfiguration = (cluster: LocalCluster, run: MatrixFaultContext): void => {
    const seen = new Map<LocalHost, number>();
    setInterval(() => {
        for (const host of cluster.runningHosts()) {
            const version = host.entryHost()?.status().environmentVersion ?? 0;
            if (version < (seen.get(host) ?? 0)) {
                run.reportViolation(`${host.id} fell from version ${String(seen.get(host))} to ${String(version)}`);
            }
            seen.set(host, Math.max(version, seen.get(host) ?? 0));
        }
    }, watchInterval);
};
const checkSpread = (cluster: LocalCluster, run: MatrixFaultContext): void => {
    const latest = Math.max(1, ...run.acceptedVersions);
    for (const host of cluster.runningHosts()) {
        const version = host.entryHost()?.status().environmentVersion ?? 0;
        if (version < latest) {
            run.reportViolation(`${host.id} has version ${String(version)} although ${String(latest)} was accepted`);
        }
    }
};

interface JobView {
    readonly state: string;
    readonly tasks: number;
    readonly finished: number;
    readonly failed: number;
    readonly cancelled: number;
    readonly inDoubt: readonly (readonly [number, number])[];
}

/** Every idempotent task must have finished, and every other one must have an outcome or be in doubt. */
const checkCompletion = async (
    cluster: LocalCluster,
    time: FakeTime,
    run: MatrixFaultContext,
    onceJob: string | undefined,
): Promise<readonly Violation[]> => {
    const violations: Violation[] = [];
    for (const job of run.jobIds) {
        const [host] = cluster.runningHosts();
        const answer = host === undefined ? undefined : cluster.send(host, { method: "GET", path: `/jobs/${job}` });
        await time.advance(500);
        const view = JSON.parse((await answer)?.body ?? "{}") as JobView;
        const doubtful = view.inDoubt.reduce((sum, [from, to]) => sum + to - from, 0);
        const settled = view.finished + view.failed + view.cancelled + (job === onceJob ? doubtful : 0);
        const isWhole = settled === view.tasks;
        const isGood = job === onceJob || run.cancelledJobIds.has(job) || view.finished === view.tasks;
        if (!isWhole || !isGood) {
            violations.push({ promise: "completion", evidence: `${job}: ${JSON.stringify(view)}` });
        }
    }
    return violations;
};

/** Plays one cell in fake time and judges it. */
export const simulateFaultCase = async ({ faults, step, seed }: FaultCase): Promise<FaultCaseResult> => {
    const time = installFakeTime();
    const cluster = createMatrixCluster(seed);
    try {
        return await playCell(cluster, time, faults, step);
    }
    finally {
        cluster.stop();
        time.restore();
    }
};

const playCell = async (
    cluster: LocalCluster,
    time: FakeTime,
    faults: readonly string[],
    step: string,
): Promise<FaultCaseResult> => {
    const isStep = matrixSteps[step];
    if (isStep === undefined) {
        throw new Error(`no step "${step}"; name one of ${Object.keys(matrixSteps).join(", ")}`);
    }
    const reports: Violation[] = [];
    let concerned: string | undefined;
    let isArmed = false;
    let hasStruck = false;
    const run: MatrixFaultContext = {
        cluster,
        jobIds: [],
        cancelledJobIds: new Set(),
        drainingSince: new Map(),
        faultedHosts: new Set(),
        acceptedVersions: [1],
        targetHost: () => {
            const running = cluster.runningHosts();
            return running.find(host => host.id === concerned)
                ?? running.find(host => host.failureDomain === faultedDomain);
        },
        reportViolation: evidence => {
            reports.push({ promise: "configuration", evidence });
        },
        submit: async job => {
            const host = cluster.runningHosts().find(candidate => !candidate.isPaused());
            const answer = host === undefined
                ? undefined
                : await cluster.send(host, { path: "/jobs", body: JSON.stringify(job) });
            if (answer?.status !== 202) {
                return undefined;
            }
            const { id } = JSON.parse(answer.body) as { id: string; };
            run.jobIds.push(id);
            return id;
        },
    };
    const note = (event: MatrixEvent): void => {
        if (!isArmed || hasStruck || !isStep(event)) {
            return;
        }
        hasStruck = true;
        concerned = event.host;
        for (const name of faults) {
            void matrixFaults[name]?.(run);
        }
    };
    const noteRun = (name: string, host?: string): void => {
        note({ name: `run:${name}`, writes: [], entry: undefined, host });
    };
    cluster.onPlatformCall = (path, body, host) => {
        const [transaction] = body as { writes?: MatrixEvent["writes"]; }[];
        const writes = path === "table.commit" ? transaction?.writes ?? [] : [];
        note({ name: `platform:${path}`, writes, entry: undefined, host });
    };
    cluster.network.onMessage = (kind, host) => {
        note({ name: `network:${kind}`, writes: [], entry: undefined, host });
    };
    let read = 0;
    setInterval(() => {
        const { entries } = cluster.standIn.journal;
        for (; read < entries.length; read += 1) {
            note({ name: "journal", writes: [], entry: entries[read], host: undefined });
        }
    }, 20);
    await time.advance(settleTime);
    watchConfiguration(cluster, run);
    isArmed = true;
    const load = startCallerLoad({ cluster, idempotentInterval: 250, nonIdempotentInterval: 700 });
    noteRun("request received");
    const drained = new Set<string>();
    let onceJob: string | undefined;
    /** Everything that the run does besides the faults, one thing after the other. */
    const act = async (): Promise<void> => {
        await run.submit(pathJob(60, 4, true));
        noteRun("job accepted");
        onceJob = await run.submit(pathJob(16, 3, false));
        await sleep(3_000);
        for (const machine of cluster.standIn.machines.values()) {
            machine.preemptOne();
        }
        const promoter = cluster.runningHosts().find(host => !host.isPaused());
        const promoted = promoter === undefined ? undefined : await cluster.promote(promoter, matrixDocument(5_500), 1);
        if (promoted?.status === 200) {
            run.acceptedVersions.push(2);
        }
        await sleep(6_000);
        const joined = cluster.startHost(`${faultedDomain}-9`, faultedDomain);
        noteRun("host joining", joined.id);
        await sleep(8_000);
        const leaver = cluster.runningHosts().find(host => host.failureDomain === faultedDomain && !host.isPaused());
        if (leaver !== undefined) {
            drained.add(leaver.id);
            const draining = leaver.drain();
            noteRun("host draining", leaver.id);
            await draining;
        }
        await run.submit(pathJob(20, 3, true));
    };
    void act();
    await time.advance(busyTime);
    let isAnswered = false;
    void load.stop().then(() => {
        isAnswered = true;
    });
    await time.advance(quietTime + configurationLimit);
    checkSpread(cluster, run);
    const completion = await checkCompletion(cluster, time, run, onceJob);
    const seen = checkJournal({
        entries: cluster.standIn.journal.entries,
        attempts: load.attempts,
        nonIdempotentJobs: new Set(onceJob === undefined ? [] : [onceJob]),
        drainingSince: run.drainingSince,
        drainedHosts: new Set([...drained].filter(host => !run.faultedHosts.has(host))),
    });
    const unanswered: readonly Violation[] = isAnswered
        ? []
        : [{ promise: "whole-answer", evidence: "a caller never got an answer" }];
    return { hasInjectedFaults: hasStruck, violations: [...unanswered, ...reports, ...seen, ...completion] };
};
