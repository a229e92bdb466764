import type { JournalEntry } from "@jayfront/platform-stand-in";

import type { Violation } from "./promise.js";
import type { RequestAttempt } from "./request-attempt.js";

/** A run as observed from outside, by the stand-in and the callers; the scheduler's own state is not used. */
export interface ObservedRun {
    /** All entries of the stand-in's journal, in order. */
    readonly entries: readonly JournalEntry[];
    readonly attempts: readonly RequestAttempt[];
    /** Ids of jobs whose tasks may run at most once. */
    readonly nonIdempotentJobs: ReadonlySet<string>;
    /** Monotonic milliseconds at which workers began to drain, by worker. */
    readonly drainingSince: ReadonlyMap<string, number>;
    /** Ids of hosts that were drained and not faulted otherwise: they may lose no connection. */
    readonly drainedHosts: ReadonlySet<string>;
}

/** Time for which a draining worker may still get work, since hosts learn of the draining with a delay. */
const drainToleranceMs = 3_000;

const jobOf = (task: string): string => task.slice(0, task.lastIndexOf("/"));

const checkOverCommit = ({ entries }: ObservedRun): readonly Violation[] =>
    entries
        .filter(entry => entry.kind === "breach")
        .map(entry => ({
            promise: "no-over-commit",
            evidence: `${entry.worker}: ${entry.detail} by ${entry.subject}`,
        }));

const checkSingleRun = ({ entries }: ObservedRun): readonly Violation[] => {
    const workerByTask = new Map<string, string>();
    const violations: Violation[] = [];
    for (const entry of entries) {
        if (entry.kind === "task-started") {
            const otherWorker = workerByTask.get(entry.subject);
            if (otherWorker !== undefined) {
                violations.push({
                    promise: "one-place",
                    evidence: `${entry.subject} started on ${entry.worker} at ${
                        String(entry.at)
                    } while ${otherWorker} ran it`,
                });
            }
            workerByTask.set(entry.subject, entry.worker);
        }
        if (entry.kind === "task-ended" && workerByTask.get(entry.subject) === entry.worker) {
            workerByTask.delete(entry.subject);
        }
    }
    return violations;
};

/** A finished task may start again only if its worker, which holds the result, was lost. */
const checkFinishOnce = ({ entries }: ObservedRun): readonly Violation[] => {
    const workerByFinishedTask = new Map<string, string>();
    const violations: Violation[] = [];
    for (const entry of entries) {
        if (entry.kind === "machine-lost") {
            for (const [task, worker] of workerByFinishedTask) {
                if (worker === entry.worker) {
                    workerByFinishedTask.delete(task);
                }
            }
        }
        const previous = entry.kind === "task-started" ? workerByFinishedTask.get(entry.subject) : undefined;
        if (previous !== undefined) {
            violations.push({
                promise: "finish-once",
                evidence: `${entry.subject} started on ${entry.worker} after it had finished on ${previous}`,
            });
        }
        if (entry.kind === "task-ended" && entry.detail === "finished") {
            workerByFinishedTask.set(entry.subject, entry.worker);
        }
    }
    return violations;
};

/** A checkpoint may be resumed again only if the run that resumed it before failed, was stopped or was lost. */
const checkResumeOnce = ({ entries }: ObservedRun): readonly Violation[] => {
    const resumes = new Map<string, { worker: string; subject: string; isLost: boolean; }>();
    const violations: Violation[] = [];
    for (const entry of entries) {
        if (entry.kind === "task-resumed") {
            const previous = resumes.get(entry.detail);
            if (previous !== undefined && !previous.isLost) {
                violations.push({ promise: "resume-once", evidence: `checkpoint ${entry.detail} was resumed twice` });
            }
            resumes.set(entry.detail, { worker: entry.worker, subject: entry.subject, isLost: false });
        }
        // A run that ended otherwise lost its progress, so its checkpoint may be resumed again.
        if (entry.kind === "task-ended" && entry.detail !== "finished" && entry.detail !== "checkpointed") {
            for (const resume of resumes.values()) {
                resume.isLost ||= resume.worker === entry.worker && resume.subject === entry.subject;
            }
        }
    }
    return violations;
};

const checkResponses = ({ attempts }: ObservedRun): readonly Violation[] =>
    attempts
        .filter(attempt => attempt.response.result === "completed" && attempt.response.status === 200)
        .filter(attempt => !attempt.response.body.endsWith(` ${attempt.body}`))
        .map(attempt => ({
            promise: "whole-answer",
            evidence: `${attempt.requestId} sent "${attempt.body}" and got "${attempt.response.body}"`,
        }));

const checkNotRun = ({ entries, attempts }: ObservedRun): readonly Violation[] => {
    const admittedRequestIds = new Set(
        entries.filter(entry => entry.kind === "request-admitted").map(entry => entry.detail),
    );
    return attempts
        .filter(attempt => attempt.response.result === "not-run" && admittedRequestIds.has(attempt.requestId))
        .map(attempt => ({
            promise: "not-run",
            evidence: `${attempt.requestId} was answered ${attempt.response.problem ?? ""} but ran`,
        }));
};

const checkRequestsAtMostOnce = ({ entries, attempts }: ObservedRun): readonly Violation[] => {
    const keyByRequestId = new Map(
        attempts.flatMap(attempt => attempt.key === undefined ? [] : [[attempt.requestId, attempt.key]]),
    );
    const runCounts = new Map<string, number>();
    for (const entry of entries) {
        const key = entry.kind === "request-admitted" ? keyByRequestId.get(entry.detail) : undefined;
        if (key !== undefined) {
            runCounts.set(key, (runCounts.get(key) ?? 0) + 1);
        }
    }
    return [...runCounts].filter(([, count]) => count > 1).map(([key, count]) => ({
        promise: "at-most-once",
        evidence: `the request with key ${key} ran ${String(count)} times`,
    }));
};

/** A task of a non-idempotent job may start once without a checkpoint; all later starts must resume one. */
const checkTasksAtMostOnce = ({ entries, nonIdempotentJobs }: ObservedRun): readonly Violation[] => {
    const freshStarts = new Map<string, number>();
    for (const entry of entries) {
        if (nonIdempotentJobs.has(jobOf(entry.subject))) {
            const change = entry.kind === "task-started" ? 1 : entry.kind === "task-resumed" ? -1 : 0;
            freshStarts.set(entry.subject, (freshStarts.get(entry.subject) ?? 0) + change);
        }
    }
    return [...freshStarts].filter(([, count]) => count > 1).map(([task, count]) => ({
        promise: "at-most-once",
        evidence: `${task} was started afresh ${String(count)} times`,
    }));
};

const checkDrainingWorkers = ({ entries, drainingSince }: ObservedRun): readonly Violation[] =>
    entries
        .filter(entry => {
            const drainingFrom = drainingSince.get(entry.worker);
            const isNewWork = entry.kind === "task-started" || entry.kind === "request-admitted"
                || entry.kind === "refused" && entry.detail === "leaving";
            return drainingFrom !== undefined && isNewWork && entry.at > drainingFrom + drainToleranceMs;
        })
        .map(entry => ({
            promise: "leaving",
            evidence: `${entry.worker} got ${entry.subject} at ${String(entry.at)}`,
        }));

const checkGracefulStop = ({ attempts, drainedHosts }: ObservedRun): readonly Violation[] =>
    attempts
        .filter(attempt => drainedHosts.has(attempt.host) && attempt.response.problem === "connection-lost")
        .map(attempt => ({
            promise: "graceful-stop",
            evidence: `${attempt.requestId} was cut off by ${attempt.host}`,
        }));

const checks = [
    checkOverCommit,
    checkSingleRun,
    checkFinishOnce,
    checkResumeOnce,
    checkResponses,
    checkNotRun,
    checkRequestsAtMostOnce,
    checkTasksAtMostOnce,
    checkDrainingWorkers,
    checkGracefulStop,
] as const;

/** Checks the promises that the journal and the callers can show; returns one violation for each breach. */
export const checkJournal = (run: ObservedRun): readonly Violation[] => checks.flatMap(check => check(run));
