import { sleep } from "@jayfront/world";

import { callJson } from "../util/call-json.js";
import type { ObservedAnswer, SubmittedWorkflow } from "../workflow/submitted-workflow.js";
import type { SoakFaultContext } from "./soak-faults.js";
import type { SoakHost } from "./soak-fleet.js";
import { soakTaskCpu } from "./soak-fleet.js";

/** Submitters with persistent connections that retry their submissions and query the states of their workflows. */
export interface SoakSubmitters {
    readonly workflows: readonly SubmittedWorkflow[];
    /** Submits a new workflow to a random host, with retries. */
    readonly submit: () => void;
    /** Queries the states of all accepted workflows at all hosts. */
    readonly queryAllHosts: () => Promise<void>;
}

/** Milliseconds that a submitter waits for an answer. */
const answerTimeout = 3_000;
/** Attempts to submit a workflow. */
const maxAttempts = 4;
/** Milliseconds from a failed attempt to the next. */
const retryAfter = 1_000;
/** Outcome of a submission by HTTP status; it is unknown for any other status and without an answer. */
const outcomesByStatus: Readonly<Record<number, string>> = { 200: "accepted", 429: "unavailable", 503: "unavailable" };
/** Answer to a state query by HTTP status, for answers without a state. */
const answersByStatus: Readonly<Record<number, string>> = { 410: "absent", 503: "unavailable", 504: "unavailable" };

/** Share of workflows that are long-running, as long as these have fewer than {@link mostLongRunningTasks}. */
const longRunningShare = 0.2;
/** Tasks of all long-running workflows at most, so that there is room for short-lived ones. */
const mostLongRunningTasks = 24;

/** Creates submitters to the hosts of a fleet. */
export const createSoakSubmitters = ({ fleet, draw, pick, runAfter }: SoakFaultContext): SoakSubmitters => {
    const workflows: SubmittedWorkflow[] = [];
    const longRunningTasks = (): number =>
        workflows.filter(({ isLasting }) => isLasting).reduce((sum, { taskCount }) => sum + taskCount, 0);

    const call = async (host: SoakHost, method: string, id: string, body?: unknown) =>
        await callJson({
            address: host.address,
            method,
            path: `/urgent/${id}`,
            body,
            headers: {
                host: "desk.example",
                "content-type": "application/json",
                "x-deadline-ms": String(answerTimeout),
            },
            timeout: answerTimeout,
        }).catch(() => undefined);
    const queryState = async (workflow: SubmittedWorkflow, host: SoakHost): Promise<void> => {
        const requestedAt = performance.now();
        const reply = await call(host, "GET", workflow.id);
        if (reply !== undefined) {
            const { state } = (reply.value ?? {}) as { readonly state?: string; };
            const answer = state ?? answersByStatus[reply.status] ?? String(reply.status);
            const observed: ObservedAnswer = {
                request: "state",
                host: host.id,
                requestedAt,
                answeredAt: performance.now(),
                answer,
                isCutOff: false,
            };
            workflow.answers.push(observed);
        }
    };
    const submitWithRetries = async (workflow: SubmittedWorkflow, body: object): Promise<void> => {
        for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
            const host = pick(fleet.hosts);
            const reply = host === undefined ? undefined : await call(host, "POST", workflow.id, body);
            const outcome = outcomesByStatus[reply?.status ?? 0] ?? "unknown";
            workflow.outcomes.push(outcome);
            if (outcome === "accepted") {
                workflow.acceptedAt ??= performance.now();
                return;
            }
            await sleep(retryAfter);
        }
    };
    const scheduleQueries = (workflow: SubmittedWorkflow): void => {
        for (const delay of [400, 1_500, 4_000, 9_000]) {
            runAfter(delay, () => {
                const host = pick(fleet.hosts);
                if (workflow.acceptedAt !== undefined && host !== undefined) {
                    void queryState(workflow, host);
                }
            });
        }
    };
    return {
        workflows,
        submit: () => {
            const id = Math.floor(draw() * 2 ** 48).toString(16).padStart(16, "0");
            const first = 1 + Math.floor(draw() * 3);
            const second = 1 + Math.floor(draw() * 2);
            const work = 200 + Math.floor(draw() * 1_500);
            const isLasting = draw() < longRunningShare && longRunningTasks() + first <= mostLongRunningTasks;
            const workflow: SubmittedWorkflow = {
                id,
                taskCount: isLasting ? first : first + second,
                isLasting,
                outcomes: [],
                answers: [],
            };
            workflows.push(workflow);
            const step = { cpu: soakTaskCpu, memoryRequestMb: 100, estimatedMs: 500 };
            void submitWithRetries(workflow, {
                // A long-running task fails once after some seconds, and runs on when it has been started again.
                specification: JSON.stringify(isLasting ? { work: 10 * work, isLasting, failures: 1 } : { work }),
                steps: isLasting
                    ? [{ ...step, count: first, longRunning: true }]
                    : [{ ...step, count: first }, { ...step, count: second, after: [0] }],
            });
            scheduleQueries(workflow);
        },
        queryAllHosts: async () => {
            await Promise.all(fleet.hosts.map(async host => {
                for (const workflow of workflows.filter(({ acceptedAt }) => acceptedAt !== undefined)) {
                    await queryState(workflow, host);
                }
            }));
        },
    };
};
