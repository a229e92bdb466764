import type { ProtocolEvent } from "@jayfront/platform-stand-in";
import { findBreach } from "@jayfront/platform-stand-in";

import type { UnservedTask } from "./find-unserved-tasks.js";
import { findUnservedTasks } from "./find-unserved-tasks.js";
import type { ServiceHistory } from "./service-history.js";
import type { ObservedAnswer, SubmittedWorkflow } from "./submitted-workflow.js";

/** A promise to submitters that was broken. */
export interface BrokenPromise {
    /** The promise, as a phrase about a workflow, such as "stays completed". */
    readonly promise: string;
    /** The workflow, and what was observed. */
    readonly detail: string;
}

/** What is recorded of a simulated day or a soak. */
export interface DayRecord {
    readonly workflows: readonly SubmittedWorkflow[];
    readonly events: readonly ProtocolEvent[];
    /** Tasks that still run on workers at the end. */
    readonly running: readonly string[];
    /** Monotonic time in ms; answers to requests sent from then on are the final ones. */
    readonly endedAt: number;
    /** The service's free capacity and what disturbed it. */
    readonly service: ServiceHistory;
}

/** Milliseconds from the acceptance of a workflow until every host has to know it. */
const visibilityDelay = 3_000;

const workflowOf = (task: string): string => task.split(".")[0] ?? "";
const at = (milliseconds: number): string => `${String(Math.round(milliseconds))} ms`;

/** Returns descriptions of the observations that break a promise to the workflow's submitter. */
type Check = (workflow: SubmittedWorkflow, day: DayRecord) => readonly string[];

const findAbsences = ({ acceptedAt, answers }: SubmittedWorkflow, byCutOffHost: boolean): readonly string[] =>
    answers.filter(({ answer, requestedAt, isCutOff }) =>
        answer === "absent" && isCutOff === byCutOffHost && acceptedAt !== undefined
        && requestedAt >= acceptedAt + visibilityDelay
    ).map(({ request, host, requestedAt }) =>
        `${request} at ${host} at ${at(requestedAt)}, accepted at ${at(acceptedAt ?? 0)}, was answered absent`
    );

/** Answers that show another state after the workflow was shown as completed. */
const findRegressions = (answers: readonly ObservedAnswer[], shownAt: number): readonly ObservedAnswer[] =>
    answers.filter(({ request, requestedAt, answer }) =>
        request === "state" && requestedAt > shownAt && answer !== "completed" && answer !== "unavailable"
    );
const describeRegression = ({ host, requestedAt, answer }: ObservedAnswer): string =>
    `${answer} at ${host} at ${at(requestedAt)} after it was shown as completed`;
/** Monotonic time in ms of the first answer that showed the workflow as completed; infinite if none did. */
const firstShownCompleted = ({ answers }: SubmittedWorkflow): number =>
    Math.min(...answers.filter(({ answer }) => answer === "completed").map(({ answeredAt }) => answeredAt));

const describeUnserved = ({ task, from, until }: UnservedTask): string =>
    `${task} had no run from ${at(from)} to ${at(until)}, with room for two of its size and no disturbance`;

/** Whether the workflow has to complete: accepted, never cancelled, and not long-running. */
const hasToComplete = ({ acceptedAt, cancelSentAt, isLasting }: SubmittedWorkflow): boolean =>
    acceptedAt !== undefined && cancelSentAt === undefined && !isLasting;

/** Checks by promise. */
const checks: Record<string, Check> = {
    "known from 3 s after its acceptance": workflow => findAbsences(workflow, false),
    "known from 3 s after its acceptance, at a host cut off": workflow => findAbsences(workflow, true),
    "completes if nobody cancels it": (workflow, { endedAt }) =>
        hasToComplete(workflow)
            ? workflow.answers.filter(({ requestedAt, answer }) => requestedAt >= endedAt && answer !== "completed")
                .map(({ host, answer }) => `${answer} at ${host} in the end`)
            : [],
    "does not run if refused": ({ id, outcomes }, { events }) =>
        outcomes.every(outcome => outcome === "unavailable")
            ? events.filter(event => event.kind === "started" && workflowOf(event.task) === id)
                .map(event => `${event.task} started at ${at(event.at)}, every answer was a refusal`)
            : [],
    "stays completed": (workflow, { events }) => {
        const { id, taskCount, answers } = workflow;
        const shownAt = firstShownCompleted(workflow);
        const own = events.filter(event => workflowOf(event.task) === id);
        const done = own.filter(event => event.kind === "ended" && event.how === "done" && event.at <= shownAt);
        return [
            ...findRegressions(answers, shownAt).filter(({ isCutOff }) => !isCutOff).map(describeRegression),
            ...own.filter(event => event.kind === "started" && event.at > shownAt)
                .map(({ task, at: startedAt }) => `${task} started at ${at(startedAt)}, completed at ${at(shownAt)}`),
            ...shownAt < Infinity && new Set(done.map(({ task }) => task)).size < taskCount
                ? [`completed at ${at(shownAt)} with ${String(done.length)} of ${String(taskCount)} tasks done`]
                : [],
        ];
    },
    "does not run once cancelled": ({ id, answers }, { running }) =>
        answers.some(({ request, answer }) => request === "cancel" && answer === "cancelled")
            ? running.filter(task => workflowOf(task) === id).map(task => `${task} runs in the end`)
            : [],
    "starts in time where there is room": (workflow, day) =>
        findUnservedTasks(workflow, day).filter(({ hasRun }) => !hasRun).map(describeUnserved),
    "runs again in time where there is room": (workflow, day) =>
        findUnservedTasks(workflow, day).filter(({ hasRun }) => hasRun).map(describeUnserved),
};

/** Checks whose findings are reported, but tolerated: an isolated host can only answer from its last known state. */
const toleratedChecks: Record<string, Check> = {
    "stays completed, at a host cut off": workflow =>
        findRegressions(workflow.answers, firstShownCompleted(workflow)).filter(({ isCutOff }) => isCutOff)
            .map(describeRegression),
};

/** Findings of {@link checkSubmittedWorkflows}. */
export interface DayFindings {
    /** The first finding for each promise and workflow. */
    readonly broken: readonly BrokenPromise[];
    /** Tolerated findings: answers of isolated hosts. */
    readonly noted: readonly BrokenPromise[];
}

/** Checks the promises to the submitters of all workflows, and the events at the workers. */
export const checkSubmittedWorkflows = (day: DayRecord): DayFindings => {
    const breach = findBreach(day.events);
    const runChecks = (all: Record<string, Check>): readonly BrokenPromise[] =>
        Object.entries(all).flatMap(([promise, check]) =>
            day.workflows.flatMap(workflow =>
                check(workflow, day).slice(0, 1).map(found => ({ promise, detail: `${workflow.id}: ${found}` }))
            )
        );
    return {
        broken: [...breach === undefined ? [] : [{ promise: "runs once", detail: breach }], ...runChecks(checks)],
        noted: runChecks(toleratedChecks),
    };
};
