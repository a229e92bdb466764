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

/** A cell of the fault matrix: one fault, or a pair of faults, at one step. */
export interface FaultCase {
    readonly faults: readonly string[];
    readonly step: string;
    readonly seed: number;
}

/** Result of a fault case. */
export interface FaultCaseResult {
    /** Whether the step occurred, so that the faults were injected. */
    readonly hasInjectedFaults: boolean;
    readonly violations: readonly Violation[];
}

const warmUpMs = 6_000;
const loadMs = 60_000;
const recoveryMs = 90_000;
const propagationLimitMs = 6_000;
const checkIntervalMs = 250;

const createPathJob = (tasks: number, runTime: number, idempotent: boolean): object => ({
    team: "bulk",
    batchClass: "path",
    tasks,
    resources: { cores: 2, memory: 2 },
    runTime,
    idempotent,
    payload: JSON.stringify({ work: runTime }),
});

/** Reports each host whose version of the environment decreases, for the rest of the run. */
const watchVersions = (cluster: LocalCluster, context: MatrixFaultContext): void => {
    const highestVersions = new Map<LocalHost, number>();
    setInterval(() => {
        for (const host of cluster.runningHosts()) {
            const version = host.entryHost()?.status().environmentVersion ?? 0;
            if (version < (highestVersions.get(host) ?? 0)) {
                context.reportViolation(
                    `${host.id} fell from version ${String(highestVersions.get(host))} to ${String(version)}`,
                );
            }
            highestVersions.set(host, Math.max(version, highestVersions.get(host) ?? 0));
        }
    }, checkIntervalMs);
};
/** Reports each running host without the latest accepted version; called once the faults are over. */
const checkPropagation = (cluster: LocalCluster, context: MatrixFaultContext): void => {
    const latest = Math.max(1, ...context.acceptedVersions);
    for (const host of cluster.runningHosts()) {
        const version = host.entryHost()?.status().environmentVersion ?? 0;
        if (version < latest) {
            context.reportViolation(
                `${host.id} has version ${String(version)} although ${String(latest)} was accepted`,
            );
        }
    }
};

interface JobStatus {
    readonly state: string;
    readonly tasks: number;
    readonly finished: number;
    readonly failed: number;
    readonly cancelled: number;
    readonly inDoubt: readonly (readonly [number, number])[];
}

/**
 * Every idempotent task must have finished, unless its job was cancelled; every non-idempotent one must have an outcome
 * or be in doubt.
 */
const checkCompletion = async (
    cluster: LocalCluster,
    time: FakeTime,
    context: MatrixFaultContext,
    nonIdempotentJob: string | undefined,
): Promise<readonly Violation[]> => {
    const violations: Violation[] = [];
    for (const job of context.jobIds) {
        const [host] = cluster.runningHosts();
        const response = host === undefined ? undefined : cluster.send(host, { method: "GET", path: `/jobs/${job}` });
        await time.advance(500);
        const status = JSON.parse((await response)?.body ?? "{}") as JobStatus;
        const inDoubtCount = status.inDoubt.reduce((sum, [from, to]) => sum + to - from, 0);
        const settledCount = status.finished + status.failed + status.cancelled
            + (job === nonIdempotentJob ? inDoubtCount : 0);
        const isSettled = settledCount === status.tasks;
        const isAsExpected = job === nonIdempotentJob || context.cancelledJobIds.has(job)
            || status.finished === status.tasks;
        if (!isSettled || !isAsExpected) {
            violations.push({ promise: "completion", evidence: `${job}: ${JSON.stringify(status)}` });
        }
    }
    return violations;
};

/** Simulates one fault case in fake time and checks all promises. */
export const simulateFaultCase = async ({ faults, step, seed }: FaultCase): Promise<FaultCaseResult> => {
    const time = installFakeTime();
    const cluster = createMatrixCluster(seed);
    try {
        return await simulateInFakeTime(cluster, time, faults, step);
    }
    finally {
        cluster.stop();
        time.restore();
    }
};

const simulateInFakeTime = async (
    cluster: LocalCluster,
    time: FakeTime,
    faults: readonly string[],
    step: string,
): Promise<FaultCaseResult> => {
    const isStep = matrixSteps[step];
    if (isStep === undefined) {
        throw new Error(`unknown step "${step}"; choose one of ${Object.keys(matrixSteps).join(", ")}`);
    }
    const configurationViolations: Violation[] = [];
    let targetHostId: string | undefined;
    let isLoadStarted = false;
    let hasInjectedFaults = false;
    const context: MatrixFaultContext = {
        cluster,
        jobIds: [],
        cancelledJobIds: new Set(),
        drainingSince: new Map(),
        faultedHosts: new Set(),
        acceptedVersions: [1],
        targetHost: () => {
            const running = cluster.runningHosts();
            return running.find(host => host.id === targetHostId)
                ?? running.find(host => host.failureDomain === faultedDomain);
        },
        reportViolation: evidence => {
            configurationViolations.push({ promise: "configuration", evidence });
        },
        submit: async job => {
            const host = cluster.runningHosts().find(candidate => !candidate.isPaused());
            const response = host === undefined
                ? undefined
                : await cluster.send(host, { path: "/jobs", body: JSON.stringify(job) });
            if (response?.status !== 202) {
                return undefined;
            }
            const { id } = JSON.parse(response.body) as { id: string; };
            context.jobIds.push(id);
            return id;
        },
    };
    const handleEvent = (event: MatrixEvent): void => {
        if (!isLoadStarted || hasInjectedFaults || !isStep(event)) {
            return;
        }
        hasInjectedFaults = true;
        targetHostId = event.host;
        for (const name of faults) {
            void matrixFaults[name]?.(context);
        }
    };
    const handleRunEvent = (name: string, host?: string): void => {
        handleEvent({ name: `run:${name}`, writes: [], entry: undefined, host });
    };
    cluster.onPlatformCall = (path, body, host) => {
        const [transaction] = body as { writes?: MatrixEvent["writes"]; }[];
        const writes = path === "table.commit" ? transaction?.writes ?? [] : [];
        handleEvent({ name: `platform:${path}`, writes, entry: undefined, host });
    };
    cluster.network.onMessage = (kind, host) => {
        handleEvent({ name: `network:${kind}`, writes: [], entry: undefined, host });
    };
    let entriesRead = 0;
    setInterval(() => {
        const { entries } = cluster.standIn.journal;
        for (; entriesRead < entries.length; entriesRead += 1) {
            handleEvent({ name: "journal", writes: [], entry: entries[entriesRead], host: undefined });
        }
    }, 20);
    await time.advance(warmUpMs);
    watchVersions(cluster, context);
    isLoadStarted = true;
    const load = startCallerLoad({ cluster, idempotentInterval: 250, nonIdempotentInterval: 700 });
    handleRunEvent("request received");
    const drainedHosts = new Set<string>();
    let nonIdempotentJob: string | undefined;
    /** The jobs, the promotion and the hosts that join and drain during the run. */
    const runActions = async (): Promise<void> => {
        await context.submit(createPathJob(60, 4, true));
        handleRunEvent("job accepted");
        nonIdempotentJob = await context.submit(createPathJob(16, 3, false));
        await sleep(3_000);
        for (const machine of cluster.standIn.machines.values()) {
            machine.preemptOne();
        }
        const promotingHost = cluster.runningHosts().find(host => !host.isPaused());
        const promotion = promotingHost === undefined
            ? undefined
            : await cluster.promote(promotingHost, matrixDocument(5_500), 1);
        if (promotion?.status === 200) {
            context.acceptedVersions.push(2);
        }
        await sleep(6_000);
        const joiningHost = cluster.startHost(`${faultedDomain}-9`, faultedDomain);
        handleRunEvent("host joining", joiningHost.id);
        await sleep(8_000);
        const drainingHost = cluster.runningHosts().find(host =>
            host.failureDomain === faultedDomain && !host.isPaused()
        );
        if (drainingHost !== undefined) {
            drainedHosts.add(drainingHost.id);
            const draining = drainingHost.drain();
            handleRunEvent("host draining", drainingHost.id);
            await draining;
        }
        await context.submit(createPathJob(20, 3, true));
    };
    void runActions();
    await time.advance(loadMs);
    let hasEveryResponse = false;
    void load.stop().then(() => {
        hasEveryResponse = true;
    });
    await time.advance(recoveryMs + propagationLimitMs);
    checkPropagation(cluster, context);
    const completionViolations = await checkCompletion(cluster, time, context, nonIdempotentJob);
    const journalViolations = checkJournal({
        entries: cluster.standIn.journal.entries,
        attempts: load.attempts,
        nonIdempotentJobs: new Set(nonIdempotentJob === undefined ? [] : [nonIdempotentJob]),
        drainingSince: context.drainingSince,
        drainedHosts: new Set([...drainedHosts].filter(host => !context.faultedHosts.has(host))),
    });
    const missingResponses: readonly Violation[] = hasEveryResponse
        ? []
        : [{ promise: "whole-answer", evidence: "a caller never got an answer" }];
    return {
        hasInjectedFaults,
        violations: [...missingResponses, ...configurationViolations, ...journalViolations, ...completionViolations],
    };
};
