import type { Step, SubmissionAnswer, WorkflowAnswer } from "@jayfront/workflow";
import type { JobId } from "@jayfront/world";

import type { SeveralCellsFaultContext } from "./several-cells-faults.js";
import type { SubmissionMix } from "./submission-mix.js";
import { shortLivedMix } from "./submission-mix.js";
import type { ObservedAnswer, SubmittedWorkflow } from "./submitted-workflow.js";

/** Submitters that retry unanswered submissions, query states at random times, and cancel some of their workflows. */
export interface RandomSubmitters {
    readonly workflows: readonly SubmittedWorkflow[];
    /** Submits a new workflow to a random host, with retries; `longRunning`: one that is certainly long-running. */
    readonly submit: (longRunning?: "long-running") => void;
    /** Number of tasks of all long-running workflows that are neither cancelled nor refused. */
    readonly longRunningTasks: () => number;
    /** Cancels all accepted long-running workflows. */
    readonly cancelLongRunning: () => void;
    /** Queries the states of all accepted workflows at all running hosts. */
    readonly queryAllHosts: () => Promise<void>;
}

interface Submission {
    readonly workflow: SubmittedWorkflow;
    readonly steps: readonly Partial<Step>[];
    /** Run time in ms of each task that ends. */
    readonly work: number;
    /** Runs of each task that fail by themselves before one does not. */
    readonly failures: number;
}

/** Retries of a submission that was not accepted. */
const maxRetries = 4;
/** Milliseconds that a submitter waits for an answer. */
const answerTimeout = 3_000;
/** Milliseconds from a refusal to the next attempt. */
const retryAfter = 1_000;
/** Milliseconds after the acceptance in which the submitter queries the state more often. */
const frequentQueryTime = 6_000;
/** Share of accepted workflows that are cancelled. */
const cancelledShare = 0.12;
/** Share of accepted workflows that are submitted a second time. */
const resubmittedShare = 0.25;

const pause = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** Creates submitters that send requests until `endsAt`, in ms of monotonic time. */
export const createRandomSubmitters = (
    context: SeveralCellsFaultContext,
    endsAt: number,
    mix: SubmissionMix = shortLivedMix,
): RandomSubmitters => {
    const { cluster, draw, pick, runAfter } = context;
    const workflows: SubmittedWorkflow[] = [];

    /** Calls a host; undefined if it does not answer in time or is in another incarnation by then. */
    const call = async <Answer>(
        id: string,
        send: (host: NonNullable<ReturnType<typeof cluster.hosts.get>>) => Promise<Answer>,
    ): Promise<Answer | undefined> => {
        const host = cluster.hosts.get(id);
        const answered = async (): Promise<Answer | undefined> => {
            // A frozen host handles the request once it is no longer frozen.
            await cluster.waitWhileFrozen(id);
            if (host === undefined || cluster.hosts.get(id) !== host) {
                return undefined;
            }
            const answer = await send(host);
            await cluster.waitWhileFrozen(id);
            return cluster.hosts.get(id) === host ? answer : undefined;
        };
        return Promise.race([answered(), pause(answerTimeout).then(() => undefined)]);
    };
    /** Draws a whole number from 1 to `most`; draws nothing if there is only one. */
    const drawUpTo = (most: number): number => most === 1 ? 1 : 1 + Math.floor(draw() * most);
    const pickHost = (): string => pick([...cluster.hosts.keys()]) ?? pick(cluster.hostIds) ?? "";
    const sendRequest = async <Value extends string>(
        workflow: SubmittedWorkflow,
        request: ObservedAnswer["request"],
        host: string,
        send: () => Promise<WorkflowAnswer<Value>> | undefined,
    ): Promise<string | undefined> => {
        const requestedAt = performance.now();
        const wasCutOff = cluster.isCutOff(host);
        const reply = await call(host, async () => send());
        const answer = reply?.kind === "known" ? reply.value : reply?.kind;
        if (answer !== undefined) {
            const isCutOff = wasCutOff || cluster.isCutOff(host);
            workflow.answers.push({ request, host, requestedAt, answeredAt: performance.now(), answer, isCutOff });
        }
        return answer;
    };
    const queryState = async (workflow: SubmittedWorkflow, host = pickHost()): Promise<void> => {
        await sendRequest(workflow, "state", host, () => cluster.hosts.get(host)?.router.state(workflow.id as JobId));
    };
    const cancel = async (workflow: SubmittedWorkflow): Promise<void> => {
        workflow.cancelSentAt ??= performance.now();
        let answer: string | undefined;
        while (answer !== "cancelled" && answer !== "absent" && performance.now() < endsAt) {
            const host = pickHost();
            answer = await sendRequest(
                workflow,
                "cancel",
                host,
                () => cluster.hosts.get(host)?.router.cancel(workflow.id as JobId),
            );
            await pause(200);
        }
    };
    const attempt = async (
        { workflow, steps, work, failures }: Submission,
    ): Promise<SubmissionAnswer["kind"] | "no answer"> => {
        const host = pickHost();
        const index = workflow.outcomes.push("no answer") - 1;
        const payload = { work, failures, isLasting: workflow.isLasting };
        const answer = await call(host, () => cluster.submit(host, workflow.id, steps, payload));
        workflow.outcomes[index] = answer?.kind ?? "no answer";
        return answer?.kind ?? "no answer";
    };
    /** Schedules state queries, and possibly a second submission and a cancellation, of an accepted workflow. */
    const scheduleRequests = (submission: Submission): void => {
        const { workflow } = submission;
        workflow.acceptedAt ??= performance.now();
        const remaining = endsAt - performance.now();
        for (const period of [...Array<number>(4).fill(frequentQueryTime), ...Array<number>(8).fill(remaining)]) {
            runAfter(draw() * period, () => void queryState(workflow));
        }
        if (draw() < resubmittedShare) {
            runAfter(1_000 + draw() * 5_000, () => void attempt(submission));
        }
        if (!workflow.isLasting && draw() < cancelledShare) {
            runAfter(draw() * 4_000, () => void cancel(workflow));
        }
        if (workflow.isLasting && mix.cancelledLongRunningShare > 0 && draw() < mix.cancelledLongRunningShare) {
            runAfter(draw() * remaining, () => void cancel(workflow));
        }
    };
    const submitWithRetries = async (submission: Submission): Promise<void> => {
        for (let retries = 0; retries <= maxRetries; retries += 1) {
            const outcome = await attempt(submission);
            if (outcome === "accepted") {
                scheduleRequests(submission);
                return;
            }
            if (outcome === "unavailable" && draw() < 0.5) {
                return;
            }
            await pause(outcome === "unavailable" ? retryAfter : 100 + draw() * 500);
        }
    };
    return {
        workflows,
        submit: longRunning => {
            const id = Math.floor(draw() * 2 ** 48).toString(16).padStart(16, "0");
            const isLasting = longRunning !== undefined || draw() < mix.longRunningShare;
            const counts = isLasting
                ? [drawUpTo(mix.mostLongRunningTasks)]
                : [1 + Math.floor(draw() * 4), 1 + Math.floor(draw() * 3)];
            const steps = counts.map((count, index) => ({
                count,
                isLasting,
                after: index === 0 ? [] : [index - 1],
            }));
            const taskCount = counts.reduce((sum, count) => sum + count, 0);
            const workflow: SubmittedWorkflow = { id, taskCount, isLasting, outcomes: [], answers: [] };
            workflows.push(workflow);
            const failures = isLasting && mix.mostFailures > 0 ? drawUpTo(mix.mostFailures + 1) - 1 : 0;
            const work = failures > 0 ? 200 + draw() * mix.longestTimeToFailure : 200 + Math.floor(draw() * 2_500);
            void submitWithRetries({ workflow, steps, work, failures });
        },
        longRunningTasks: () =>
            workflows.filter(({ isLasting, cancelSentAt, outcomes }) =>
                isLasting && cancelSentAt === undefined && outcomes[outcomes.length - 1] !== "unavailable"
            )
                .reduce((sum, { taskCount }) => sum + taskCount, 0),
        cancelLongRunning: () => {
            workflows.filter(workflow => workflow.isLasting && workflow.acceptedAt !== undefined)
                .forEach(workflow => void cancel(workflow));
        },
        queryAllHosts: async () => {
            const accepted = workflows.filter(workflow => workflow.acceptedAt !== undefined);
            await Promise.all(
                accepted.flatMap(workflow => [...cluster.hosts.keys()].map(host => queryState(workflow, host))),
            );
        },
    };
};
