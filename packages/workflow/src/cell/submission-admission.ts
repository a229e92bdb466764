import type { CellId } from "@jayfront/world";
import type { Logger } from "pino";

import type { Queue } from "../model/queue.js";
import type { Workflow } from "../model/workflow.js";
import { createAdmissionShares } from "../policy/admission-shares.js";
import type { AdmissionVerdict } from "../policy/admission-verdict.js";
import { admissionVerdict } from "../policy/admission-verdict.js";
import type { ForecastSubject } from "../policy/completion-forecast.js";
import { forecastWait } from "../policy/completion-forecast.js";
import { expectedTimes } from "../policy/expected-times.js";
import { laxitiesOf, laxityAsLate } from "../policy/laxities.js";
import { createRefusedCallers } from "../policy/refused-callers.js";
import type { Urgency } from "../policy/urgency.js";
import { uselessFactor } from "../policy/useless-factor.js";
import type { WaitingWork, WorkPool } from "../policy/waiting-work.js";
import { poolOf } from "../policy/waiting-work.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { RunTimePredictor } from "./run-statistics.js";
import type { StageScheduler } from "./stage-scheduler.js";

/** What the cell would do with a submission; times in milliseconds. */
export interface AdmissionJudgement {
    readonly verdict: AdmissionVerdict;
    /** By how much its wait for room exceeds what it can spare, as a share of its objective; 0 if it can be in time. */
    readonly lateness: number;
}

/**
 * Admission control for short-lived work by when it would be done. It decides only while work waits that starts at a
 * known rate; otherwise all submissions are in time.
 */
export interface SubmissionAdmission {
    /** Judges a submission that the cell may still decline; records nothing. */
    readonly judge: (workflow: Workflow) => AdmissionJudgement;
    /**
     * Decides on a submission that the cell stores unless it refuses. `accepted`: the workflow to store. `refused`: the
     * milliseconds after which its submitter should return.
     */
    readonly admit: (workflow: Workflow) =>
        | { readonly kind: "accepted"; readonly workflow: Workflow; }
        | { readonly kind: "refused"; readonly retryAfter: number; };
    /** Takes a stored workflow of an earlier holder into the shares. */
    readonly inherit: (workflow: Workflow) => void;
}

/** Options of {@link createSubmissionAdmission}. */
export interface SubmissionAdmissionOptions {
    readonly cell: CellId;
    readonly epoch: number;
    /** The queue in the current configuration, or as given. */
    readonly queueOf: (workflow: Workflow) => Queue;
    readonly runTime: RunTimePredictor;
    readonly scheduler: Pick<StageScheduler, "startRate" | "waitingWork">;
    readonly logger: Logger;
    readonly metrics: Pick<WorkflowMetrics, "forecastWait">;
}

/** What a decision is made of. */
interface Forecast extends AdmissionJudgement {
    readonly subject: ForecastSubject;
    /** The same, going after all work that can be in time. */
    readonly lateSubject: ForecastSubject;
    readonly wait: number;
    readonly waitAsLate: number;
    readonly path: number;
    readonly objective: number;
    readonly isHeldBack: boolean;
}

const sum = (values: Iterable<number>): number => [...values].reduce((total, value) => total + value, 0);

/** Creates an admission control without any recorded submission. */
export const createSubmissionAdmission = (options: SubmissionAdmissionOptions): SubmissionAdmission => {
    const { cell, epoch, queueOf, runTime, scheduler, logger, metrics } = options;
    const shares = createAdmissionShares();
    const refusedCallers = createRefusedCallers();
    /** What waited after the last pass, and what has been accepted since. */
    let waiting: WaitingWork[] = [];
    let waitingAfterPass: readonly WaitingWork[] = [];

    const { startRate } = scheduler;
    const rateOf = (pool: WorkPool, { priority }: Urgency): number | undefined => startRate(pool, priority);
    const isContended = (): boolean => startRate("reserved", 0) !== undefined || startRate("spare", 0) !== undefined;
    /** Work by pool and expected times of a workflow none of whose tasks has started. */
    const describe = (
        workflow: Workflow,
    ): Pick<Forecast, "path" | "objective"> & { readonly subject: ForecastSubject; } => {
        const { id, steps, acceptedAt } = workflow;
        const queue = queueOf(workflow);
        const times = steps.map((step, number) => step.isLasting ? 0 : runTime(id, queue, step, number));
        const { paths, objective } = expectedTimes(steps, queue, (...[, number]) => times[number] ?? 0);
        const path = Math.max(0, ...paths);
        const work: Partial<Record<WorkPool, number>> = {};
        for (const [number, step] of steps.entries()) {
            const pool = poolOf(step);
            work[pool] = (work[pool] ?? 0) + step.count * step.cpu * (times[number] ?? 0);
        }
        const laxities = laxitiesOf(acceptedAt - Date.now() - path, objective);
        const urgency: Urgency = { lasting: "no", priority: queue.priority, ...laxities };
        return { path, objective, subject: { urgency, work } };
    };
    const toWaiting = ({ urgency, work }: ForecastSubject): WaitingWork[] =>
        (Object.entries(work) as [WorkPool, number][]).map(([pool, amount]) => ({ pool, urgency, work: amount }));
    const findWaiting = (): readonly WaitingWork[] => {
        const current = scheduler.waitingWork();
        if (current !== waitingAfterPass) {
            waitingAfterPass = current;
            waiting = [...current];
        }
        return waiting;
    };
    /** Long-running work has an admission of its own, and scheduled work is due later. */
    const isJudged = ({ steps, schedule }: Workflow): boolean =>
        schedule === undefined && !steps.some(step => step.isLasting);
    const sharedOf = ({ queue, origin }: Workflow, { work }: ForecastSubject) => ({
        kind: queue.name,
        origin,
        work: sum(Object.values(work)),
    });
    /** The forecast for a submission; undefined if it is in time, since nothing waits or it is not judged. */
    const forecast = (workflow: Workflow): Forecast | undefined => {
        if (!isJudged(workflow) || !isContended()) {
            return undefined;
        }
        const { path, objective, subject } = describe(workflow);
        const ahead = findWaiting();
        const wait = forecastWait(subject, ahead, rateOf);
        if (wait === 0) {
            return undefined;
        }
        const lateSubject = {
            ...subject,
            urgency: { ...subject.urgency, laxity: laxityAsLate(subject.urgency.laxity) },
        };
        const refused = refusedCallers.before(workflow.id);
        const waitAsLate = forecastWait(lateSubject, [...ahead, ...refused.flatMap(toWaiting)], rateOf);
        const isHeldBack = refused.length > 0 || shares.isAboveShare(sharedOf(workflow, subject), performance.now());
        const facts = { wait, waitAsLate, path, objective, isHeldBack };
        const verdict = admissionVerdict(facts);
        const lateness = Math.max(0, wait + path - objective) / Math.max(1, objective);
        return { ...facts, subject, lateSubject, verdict, lateness };
    };
    const logVerdict = ({ id, queue, origin }: Workflow, made: Forecast, retryAfter?: number): void => {
        const { verdict, wait, waitAsLate, path, objective, isHeldBack, subject: { urgency, work } } = made;
        logger.info({
            cell,
            epoch,
            job: id,
            queue: queue.name,
            origin,
            verdict,
            wait: Math.round(wait),
            waitAsLate: Math.round(waitAsLate),
            path: Math.round(path),
            objective: Math.round(objective),
            isHeldBack,
            work: Math.round(sum(Object.values(work)) / 1_000),
            rates: Object.keys(work).map(pool => Math.round(rateOf(pool as WorkPool, urgency) ?? 0)),
            retryAfter: retryAfter === undefined ? undefined : Math.round(retryAfter),
        }, "submission can not be in time");
    };
    /** Takes a workflow that is about to be stored into the sums, which do not have it yet. */
    const count = (workflow: Workflow, subject: ForecastSubject, isInTime: boolean): void => {
        waiting.push(...toWaiting(subject));
        shares.record(sharedOf(workflow, subject), isInTime, performance.now());
        refusedCallers.forget(workflow.id);
    };
    /** A submission that was refused before has the time at which it first came, and with it its place in the order. */
    const withFirstTime = (workflow: Workflow): Workflow => {
        const acceptedAt = refusedCallers.firstCameAt(workflow.id);
        return acceptedAt === undefined ? workflow : { ...workflow, acceptedAt };
    };
    return {
        judge: workflow => forecast(withFirstTime(workflow)) ?? { verdict: "in order", lateness: 0 },
        admit: submitted => {
            const workflow = withFirstTime(submitted);
            const made = forecast(workflow);
            if (made === undefined || made.verdict === "in order") {
                if (isJudged(workflow)) {
                    metrics.forecastWait.observe({ queue: workflow.queue.name }, (made?.wait ?? 0) / 1_000);
                    count(workflow, made?.subject ?? describe(workflow).subject, (made?.lateness ?? 0) === 0);
                }
                return { kind: "accepted", workflow };
            }
            metrics.forecastWait.observe({ queue: workflow.queue.name }, made.waitAsLate / 1_000);
            if (made.verdict === "late") {
                logVerdict(workflow, made);
                count(workflow, made.lateSubject, false);
                return { kind: "accepted", workflow: { ...workflow, isLate: true } };
            }
            shares.record(sharedOf(workflow, made.subject), false, performance.now());
            const tooLateBy = made.waitAsLate + made.path - made.objective * uselessFactor;
            const retryAfter = refusedCallers.refuse(workflow.id, made.subject, workflow.acceptedAt, tooLateBy);
            logVerdict(workflow, made, retryAfter);
            return { kind: "refused", retryAfter };
        },
        inherit: workflow => {
            if (isJudged(workflow)) {
                const age = Math.max(0, Date.now() - workflow.acceptedAt);
                shares.record(
                    sharedOf(workflow, describe(workflow).subject),
                    workflow.isLate !== true,
                    performance.now() - age,
                );
            }
        },
    };
};
