import { sleep } from "@jayfront/world";

import { callJson } from "../util/call-json.js";
import type { ObservedAnswer, SubmittedWorkflow } from "../workflow/submitted-workflow.js";
import type { SoakFaultContext } from "./soak-faults.js";
import type { SoakHost } from "./soak-fleet.js";

/** Callers that keep their connections open, repeat what had no answer, and ask for what they handed in. */
export interface SoakSubmitters {
    readonly workflows: readonly SubmittedWorkflow[];
    /** Hands a new workflow in, at some host. */
    readonly submit: () => void;
    /** Asks for all accepted workflows at all hosts. */
    readonly queryAllHosts: () => Promise<void>;
}

/** Milliseconds that a caller waits for an answer. */
const patience = 3_000;
/** Attempts to hand a workflow in. */
const attempts = 4;
/** Milliseconds after which a caller comes back. */
const retryAfter = 1_000;
/** Answers to a submission by status; all others, and none, leave it unknown. */
const outcomes: Readonly<Record<number, string>> = { 200: "accepted", 429: "unavailable", 503: "unavailable" };
/** Answers to a question by status; state answers hold more. */
const absences: Readonly<Record<number, string>> = { 410: "absent", 503: "unavailable", 504: "unavailable" };

/** Creates callers of a fleet. */
export const createSoakSubmitters = ({ fleet, draw, pick, runAfter: later }: SoakFaultContext): SoakSubmitters => {
    const workflows: SubmittedWorkflow[] = [];

    const call = async (host: SoakHost, method: string, id: string, body?: unknown) =>
        await callJson({
            address: host.address,
            method,
            path: `/urgent/${id}`,
            body,
            headers: { host: "desk.example", "content-type": "application/json", "x-deadline-ms": String(patience) },
            timeout: patience,
        }).catch(() => undefined);
    const askState = async (workflow: SubmittedWorkflow, host: SoakHost): Promise<void> => {
        const askedAt = performance.now();
        const told = await call(host, "GET", workflow.id);
        if (told !== undefined) {
            const { state } = (told.value ?? {}) as { readonly state?: string; };
            const answer = state ?? absences[told.status] ?? String(told.status);
            const telling: ObservedAnswer = {
                request: "state",
                host: host.id,
                requestedAt: askedAt,
                answeredAt: performance.now(),
                answer,
                isCutOff: false,
            };
            workflow.answers.push(telling);
        }
    };
    const handIn = async (workflow: SubmittedWorkflow, body: object): Promise<void> => {
        for (let attempt = 0; attempt < attempts; attempt += 1) {
            const host = pick(fleet.hosts);
            const told = host === undefined ? undefined : await call(host, "POST", workflow.id, body);
            const outcome = outcomes[told?.status ?? 0] ?? "unknown";
            workflow.outcomes.push(outcome);
            if (outcome === "accepted") {
                workflow.acceptedAt ??= performance.now();
                return;
            }
            await sleep(retryAfter);
        }
    };
    const watch = (workflow: SubmittedWorkflow): void => {
        for (const delay of [400, 1_500, 4_000, 9_000]) {
            later(delay, () => {
                const host = pick(fleet.hosts);
                if (workflow.acceptedAt !== undefined && host !== undefined) {
                    void askState(workflow, host);
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
            const workflow: SubmittedWorkflow = {
                id,
                taskCount: first + second,
                isLasting: false,
                outcomes: [],
                answers: [],
            };
            workflows.push(workflow);
            const step = { cpu: 1_000, memoryRequestMb: 100, estimatedMs: 500 };
            const specification = JSON.stringify({ work: 200 + Math.floor(draw() * 1_500) });
            void handIn(workflow, {
                specification,
                steps: [{ ...step, count: first }, { ...step, count: second, after: [0] }],
            });
            watch(workflow);
        },
        queryAllHosts: async () => {
            await Promise.all(fleet.hosts.map(async host => {
                for (const workflow of workflows.filter(({ acceptedAt }) => acceptedAt !== undefined)) {
                    await askState(workflow, host);
                }
            }));
        },
    };
};
