import type { JournalEntry } from "@jayfront/platform-stand-in";

import type { Violation } from "./promise.js";
import type { RequestAttempt } from "./request-attempt.js";

/** A run as its witnesses saw it: the stand-in's journal and the callers, never the scheduler's own belief. */
export interface ObservedRun {
    readonly entries: readonly JournalEntry[];
    readonly attempts: readonly RequestAttempt[];
    /** Jobs whose tasks may run at most once. */
    readonly nonIdempotentJobs: ReadonlySet<string>;
    /** Monotonic milliseconds at which workers began to leave, by worker. */
    readonly drainingSince: ReadonlyMap<string, number>;
    /** Host that was stopped as planned, if any. */
    readonly drainedHosts: ReadonlySet<string>;
}

const leavingTolerance = 3_000;

const jobOf = (task: string): string => task.slice(0, task.lastIndexOf("/"));

const checkOverCommit = ({ entries }: ObservedRun): readonly Violation[] =>
    entries
        .filter(entry => entry.kind === "breach")
        .map(entry => ({
            promise: "no-over-commit",
            evidence: `${entry.worker}: ${entry.detail} by ${entry.subject}`,
        }));

const checkOnePlace = ({ entries }: ObservedRun): readonly Violation[] => {
    const running = new Map<string, string>();
    const violations: Violation[] = [];
    for (const entry of entries) {
        if (entry.kind === "task-started") {
            const other = running.get(entry.subject);
            if (other !== undefined) {
                violations.push({
                    promise: "one-place",
                    evidence: `${entry.subject} started on ${entry.worker} at ${
                        String(entry.at)
                    } while ${other} ran it`,
                });
            }
            running.set(entry.subject, entry.worker);
        }
        if (entry.kind === "task-ended" && running.get(entry.subject) === entry.worker) {
            running.delete(entry.subject);
        }
    }
    return violations;
};

const checkFinishOnce = ({ entries }: ObservedRun): readonly Violation[] => {
    const finishedOn = new Map<string, string>();
    const violations: Violation[] = [];
    for (const entry of entries) {
        if (entry.kind === "machine-lost") {
            for (const [task, worker] of finishedOn) {
                if (worker === entry.worker) {
                    finishedOn.delete(task);
                }
            }
        }
        const earlier = entry.kind === "task-started" ? finishedOn.get(entry.subject) : undefined;
        if (earlier !== undefined) {
            violations.push({
                promise: "finish-once",
                evidence: `${entry.subject} started on ${entry.worker} after it had finished on ${earlier}`,
            });
        }
        if (entry.kind === "task-ended" && entry.detail === "finished") {
            finishedOn.set(entry.subject, entry.worker);
        }
    }
    return violations;
};

/** A second resume of a checkpoint is allowed only after the first one was lost with its worker. */
const checkResumeOnce = ({ entries }: ObservedRun): readonly Violation[] => {
    const resumed = new Map<string, { worker: string; subject: string; isLost: boolean; }>();
    const violations: Violation[] = [];
    for (const entry of entries) {
        if (entry.kind === "task-resumed") {
            const earlier = resumed.get(entry.detail);
            if (earlier !== undefined && !earlier.isLost) {
                violations.push({ promise: "resume-once", evidence: `checkpoint ${entry.detail} was resumed twice` });
            }
            resumed.set(entry.detail, { worker: entry.worker, subject: entry.subject, isLost: false });
        }
        // An attempt that failed, was stopped or was lost has undone its resume.
        if (entry.kind === "task-ended" && entry.detail !== "finished" && entry.detail !== "checkpointed") {
            for (const resume of resumed.values()) {
                resume.isLost ||= resume.worker === entry.worker && resume.subject === entry.subject;
            }
        }
    }
    return violations;
};

const checkAnswers = ({ attempts: records }: ObservedRun): readonly Violation[] =>
    records
        .filter(record => record.response.result === "completed" && record.response.status === 200)
        .filter(record => !record.response.body.endsWith(` ${record.body}`))
        .map(record => ({
            promise: "whole-answer",
            evidence: `${record.requestId} sent "${record.body}" and got "${record.response.body}"`,
        }));

const checkNotRun = ({ entries, attempts: records }: ObservedRun): readonly Violation[] => {
    const admitted = new Set(entries.filter(entry => entry.kind === "request-admitted").map(entry => entry.detail));
    return records
        .filter(record => record.response.result === "not-run" && admitted.has(record.requestId))
        .map(record => ({
            promise: "not-run",
            evidence: `${record.requestId} was answered ${record.response.problem ?? ""} but ran`,
        }));
};

const checkRequestsAtMostOnce = ({ entries, attempts: records }: ObservedRun): readonly Violation[] => {
    const keyOf = new Map(records.flatMap(record => record.key === undefined ? [] : [[record.requestId, record.key]]));
    const runs = new Map<string, number>();
    for (const entry of entries) {
        const key = entry.kind === "request-admitted" ? keyOf.get(entry.detail) : undefined;
        if (key !== undefined) {
            runs.set(key, (runs.get(key) ?? 0) + 1);
        }
    }
    return [...runs].filter(([, count]) => count > 1).map(([key, count]) => ({
        promise: "at-most-once",
        evidence: `the request with key ${key} ran ${String(count)} times`,
    }));
};

/** A task of a non-idempotent job may start afresh once; all later starts must resume a checkpoint. */
const checkTasksAtMostOnce = ({ entries, nonIdempotentJobs: onceJobs }: ObservedRun): readonly Violation[] => {
    const fresh = new Map<string, number>();
    for (const entry of entries) {
        if (onceJobs.has(jobOf(entry.subject))) {
            const change = entry.kind === "task-started" ? 1 : entry.kind === "task-resumed" ? -1 : 0;
            fresh.set(entry.subject, (fresh.get(entry.subject) ?? 0) + change);
        }
    }
    return [...fresh].filter(([, count]) => count > 1).map(([task, count]) => ({
        promise: "at-most-once",
        evidence: `${task} was started afresh ${String(count)} times`,
    }));
};

const checkLeaving = ({ entries, drainingSince: leavingSince }: ObservedRun): readonly Violation[] =>
    entries
        .filter(entry => {
            const since = leavingSince.get(entry.worker);
            const isNewWork = entry.kind === "task-started" || entry.kind === "request-admitted"
                || entry.kind === "refused" && entry.detail === "leaving";
            return since !== undefined && isNewWork && entry.at > since + leavingTolerance;
        })
        .map(entry => ({
            promise: "leaving",
            evidence: `${entry.worker} got ${entry.subject} at ${String(entry.at)}`,
        }));

const checkGracefulStop = ({ attempts: records, drainedHosts }: ObservedRun): readonly Violation[] =>
    records
        .filter(record => drainedHosts.has(record.host) && record.response.problem === "connection-lost")
        .map(record => ({ promise: "graceful-stop", evidence: `${record.requestId} was cut off by ${record.host}` }));

const checks = [
    checkOverCommit,
    checkOnePlace,
    checkFinishOnce,
    checkResumeOnce,
    checkAnswers,
    checkNotRun,
    checkRequestsAtMostOnce,
    checkTasksAtMostOnce,
    checkLeaving,
    checkGracefulStop,
] as const;

/** Every promise that the run broke, by what its witnesses saw. */
export const checkJournal = (run: ObservedRun): readonly Violation[] => checks.flatMap(check => check(run));
