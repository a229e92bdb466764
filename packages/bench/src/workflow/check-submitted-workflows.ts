import type { ProtocolEvent } from "@jayfront/platform-stand-in";
import { findBreach } from "@jayfront/platform-stand-in";

import type { ObservedAnswer, SubmittedWorkflow } from "./submitted-workflow.js";

/** A promise that a day showed broken. */
export interface BrokenPromise {
    readonly promise: string;
    readonly detail: string;
}

/** What a day is judged by. */
export interface DayRecord {
    readonly workflows: readonly SubmittedWorkflow[];
    readonly events: readonly ProtocolEvent[];
    /** Tasks that run at the end of the day. */
    readonly running: readonly string[];
    /** Steady ms from which tellings are those of the end of the day. */
    readonly endedAt: number;
}

/** Milliseconds from the acceptance of a workflow until every host knows it. */
const visible = 3_000;

const workflowOf = (task: string): string => task.split(".")[0] ?? "";
const at = (milliseconds: number): string => `${String(Math.round(milliseconds))} ms`;

type Judge = (workflow: SubmittedWorkflow, day: DayRecord) => readonly string[];

const findAbsences = ({ acceptedAt, answers: tellings }: SubmittedWorkflow, ofCutOff: boolean): readonly string[] =>
    tellings.filter(({ answer, requestedAt: askedAt, isCutOff }) =>
        answer === "absent" && isCutOff === ofCutOff && acceptedAt !== undefined && askedAt >= acceptedAt + visible
    ).map(({ request: asked, host, requestedAt: askedAt }) =>
        `${asked} at ${host} at ${at(askedAt)}, accepted at ${at(acceptedAt ?? 0)}, was answered absent`
    );

/** Answers by which a workflow that was shown as completed isn't any more. */
const findRegressions = (tellings: readonly ObservedAnswer[], shownAt: number): readonly ObservedAnswer[] =>
    tellings.filter(({ request: asked, requestedAt: askedAt, answer }) =>
        asked === "state" && askedAt > shownAt && answer !== "completed" && answer !== "unavailable"
    );
const describeRegression = ({ host, requestedAt: askedAt, answer }: ObservedAnswer): string =>
    `${answer} at ${host} at ${at(askedAt)} after it was shown as completed`;
const firstShown = ({ answers: tellings }: SubmittedWorkflow): number =>
    Math.min(...tellings.filter(({ answer }) => answer === "completed").map(({ answeredAt }) => answeredAt));

const isOwed = ({ acceptedAt, cancelSentAt, isLasting }: SubmittedWorkflow): boolean =>
    acceptedAt !== undefined && cancelSentAt === undefined && !isLasting;

/** Judges by name of the promise; each answers what of the workflow breaks it. */
const judges: Record<string, Judge> = {
    "known from 3 s after its acceptance": workflow => findAbsences(workflow, false),
    "known from 3 s after its acceptance, at a host cut off": workflow => findAbsences(workflow, true),
    "completes if nobody cancels it": (workflow, { endedAt }) =>
        isOwed(workflow)
            ? workflow.answers.filter(({ requestedAt: askedAt, answer }) =>
                askedAt >= endedAt && answer !== "completed"
            )
                .map(({ host, answer }) => `${answer} at ${host} in the end`)
            : [],
    "does not run if refused": ({ id, outcomes }, { events }) =>
        outcomes.every(outcome => outcome === "unavailable")
            ? events.filter(event => event.kind === "started" && workflowOf(event.task) === id)
                .map(event => `${event.task} started at ${at(event.at)}, every answer was a refusal`)
            : [],
    "stays completed": (workflow, { events }) => {
        const { id, taskCount: tasks, answers: tellings } = workflow;
        const shownAt = firstShown(workflow);
        const own = events.filter(event => workflowOf(event.task) === id);
        const done = own.filter(event => event.kind === "ended" && event.how === "done" && event.at <= shownAt);
        return [
            ...findRegressions(tellings, shownAt).filter(({ isCutOff }) => !isCutOff).map(describeRegression),
            ...own.filter(event => event.kind === "started" && event.at > shownAt)
                .map(({ task, at: startedAt }) => `${task} started at ${at(startedAt)}, completed at ${at(shownAt)}`),
            ...shownAt < Infinity && new Set(done.map(({ task }) => task)).size < tasks
                ? [`completed at ${at(shownAt)} with ${String(done.length)} of ${String(tasks)} tasks done`]
                : [],
        ];
    },
    "does not run once cancelled": ({ id, answers: tellings }, { running }) =>
        tellings.some(({ request: asked, answer }) => asked === "cancel" && answer === "cancelled")
            ? running.filter(task => workflowOf(task) === id).map(task => `${task} runs in the end`)
            : [],
};

/** What does not break a promise, but is worth knowing: a host that reaches nobody can only tell what it last knew. */
const notes: Record<string, Judge> = {
    "stays completed, at a host cut off": workflow =>
        findRegressions(workflow.answers, firstShown(workflow)).filter(({ isCutOff }) => isCutOff)
            .map(describeRegression),
};

/** What a day shows. */
export interface DayFindings {
    /** The first finding of each workflow and promise. */
    readonly broken: readonly BrokenPromise[];
    /** Promises that only a host did not keep that was cut off. */
    readonly noted: readonly BrokenPromise[];
}

/** Judges all that a day shows. */
export const checkSubmittedWorkflows = (day: DayRecord): DayFindings => {
    const breach = findBreach(day.events);
    const judgeAll = (all: Record<string, Judge>): readonly BrokenPromise[] =>
        Object.entries(all).flatMap(([promise, judge]) =>
            day.workflows.flatMap(workflow =>
                judge(workflow, day).slice(0, 1).map(found => ({ promise, detail: `${workflow.id}: ${found}` }))
            )
        );
    return {
        broken: [...breach === undefined ? [] : [{ promise: "runs once", detail: breach }], ...judgeAll(judges)],
        noted: judgeAll(notes),
    };
};
