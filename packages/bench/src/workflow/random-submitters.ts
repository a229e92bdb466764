import type { Step, SubmissionAnswer, WorkflowAnswer } from "@jayfront/workflow";
import type { JobId } from "@jayfront/world";

import type { SeveralCellsFaultContext } from "./several-cells-faults.js";
import type { ObservedAnswer, SubmittedWorkflow } from "./submitted-workflow.js";

/** Submitters who repeat what had no answer, ask at any time, and cancel some of what they handed in. */
export interface RandomSubmitters {
    readonly workflows: readonly SubmittedWorkflow[];
    /** Hands a new workflow in at some host. */
    readonly submit: () => void;
    /** Cancels all workflows that last. */
    readonly cancelLongRunning: () => void;
    /** Asks for all accepted workflows at all hosts. */
    readonly queryAllHosts: () => Promise<void>;
}

interface Plan {
    readonly workflow: SubmittedWorkflow;
    readonly steps: readonly Partial<Step>[];
    readonly work: number;
}

/** Further attempts to hand in a workflow whose first had no answer. */
const repetitions = 4;
/** Milliseconds after which a submitter gives an attempt up. */
const submitterPatience = 3_000;
/** Milliseconds after which a submitter comes back that was told to. */
const retryAfter = 1_000;
/** Milliseconds after the acceptance in which the submitter asks more often. */
const firstWatch = 6_000;
const lastingShare = 0.08;
const cancelledShare = 0.12;
const repeatedShare = 0.25;

const pause = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** Creates submitters; they go on asking until `endsAt` (steady ms). */
export const createRandomSubmitters = (play: SeveralCellsFaultContext, endsAt: number): RandomSubmitters => {
    const { cluster, draw, pick, runAfter: later } = play;
    const workflows: SubmittedWorkflow[] = [];

    /** Calls a host as a submitter does; undefined where no answer comes from the life that was called. */
    const call = async <Answer>(
        id: string,
        send: (host: NonNullable<ReturnType<typeof cluster.hosts.get>>) => Promise<Answer>,
    ): Promise<Answer | undefined> => {
        const host = cluster.hosts.get(id);
        const answered = async (): Promise<Answer | undefined> => {
            // A frozen host reads what it was sent once it goes on.
            await cluster.waitWhileFrozen(id);
            if (host === undefined || cluster.hosts.get(id) !== host) {
                return undefined;
            }
            const answer = await send(host);
            await cluster.waitWhileFrozen(id);
            return cluster.hosts.get(id) === host ? answer : undefined;
        };
        return Promise.race([answered(), pause(submitterPatience).then(() => undefined)]);
    };
    const pickHost = (): string => pick([...cluster.hosts.keys()]) ?? pick(cluster.hostIds) ?? "";
    const ask = async <Value extends string>(
        workflow: SubmittedWorkflow,
        asked: ObservedAnswer["request"],
        host: string,
        send: () => Promise<WorkflowAnswer<Value>> | undefined,
    ): Promise<string | undefined> => {
        const askedAt = performance.now();
        const wasCutOff = cluster.isCutOff(host);
        const told = await call(host, async () => send());
        const answer = told?.kind === "known" ? told.value : told?.kind;
        if (answer !== undefined) {
            const isCutOff = wasCutOff || cluster.isCutOff(host);
            workflow.answers.push({
                request: asked,
                host,
                requestedAt: askedAt,
                answeredAt: performance.now(),
                answer,
                isCutOff,
            });
        }
        return answer;
    };
    const askState = async (workflow: SubmittedWorkflow, host = pickHost()): Promise<void> => {
        await ask(workflow, "state", host, () => cluster.hosts.get(host)?.router.state(workflow.id as JobId));
    };
    const cancel = async (workflow: SubmittedWorkflow): Promise<void> => {
        workflow.cancelSentAt ??= performance.now();
        let answer: string | undefined;
        while (answer !== "cancelled" && answer !== "absent" && performance.now() < endsAt) {
            const host = pickHost();
            answer = await ask(
                workflow,
                "cancel",
                host,
                () => cluster.hosts.get(host)?.router.cancel(workflow.id as JobId),
            );
            await pause(200);
        }
    };
    const attempt = async ({ workflow, steps, work }: Plan): Promise<SubmissionAnswer["kind"] | "no answer"> => {
        const host = pickHost();
        const number = workflow.outcomes.push("no answer") - 1;
        const payload = { work, isLasting: workflow.isLasting };
        const answer = await call(host, () => cluster.submit(host, workflow.id, steps, payload));
        workflow.outcomes[number] = answer?.kind ?? "no answer";
        return answer?.kind ?? "no answer";
    };
    const watch = (plan: Plan): void => {
        const { workflow } = plan;
        workflow.acceptedAt ??= performance.now();
        const remaining = endsAt - performance.now();
        for (const span of [...Array<number>(4).fill(firstWatch), ...Array<number>(8).fill(remaining)]) {
            later(draw() * span, () => void askState(workflow));
        }
        if (draw() < repeatedShare) {
            later(1_000 + draw() * 5_000, () => void attempt(plan));
        }
        if (!workflow.isLasting && draw() < cancelledShare) {
            later(draw() * 4_000, () => void cancel(workflow));
        }
    };
    const handIn = async (plan: Plan): Promise<void> => {
        for (let tries = 0; tries <= repetitions; tries += 1) {
            const outcome = await attempt(plan);
            if (outcome === "accepted") {
                watch(plan);
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
        submit: () => {
            const id = Math.floor(draw() * 2 ** 48).toString(16).padStart(16, "0");
            const isLasting = draw() < lastingShare;
            const counts = isLasting ? [1] : [1 + Math.floor(draw() * 4), 1 + Math.floor(draw() * 3)];
            const steps = counts.map((count, number) => ({
                count,
                isLasting,
                after: number === 0 ? [] : [number - 1],
            }));
            const tasks = counts.reduce((sum, count) => sum + count, 0);
            const workflow: SubmittedWorkflow = { id, taskCount: tasks, isLasting, outcomes: [], answers: [] };
            workflows.push(workflow);
            void handIn({ workflow, steps, work: 200 + Math.floor(draw() * 2_500) });
        },
        cancelLongRunning: () => {
            workflows.filter(workflow => workflow.isLasting && workflow.acceptedAt !== undefined)
                .forEach(workflow => void cancel(workflow));
        },
        queryAllHosts: async () => {
            const accepted = workflows.filter(workflow => workflow.acceptedAt !== undefined);
            await Promise.all(
                accepted.flatMap(workflow => [...cluster.hosts.keys()].map(host => askState(workflow, host))),
            );
        },
    };
};
