import type { CellId, FailureDomainId, JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Registry } from "prom-client";

import type { SubmissionAdmission } from "../src/cell/submission-admission.js";
import { createSubmissionAdmission } from "../src/cell/submission-admission.js";
import type { WorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createWorkflowLedger } from "../src/ledger/workflow-ledger.js";
import { createStep } from "../src/model/create-step.js";
import type { Workflow } from "../src/model/workflow.js";
import { uselessFactor } from "../src/policy/useless-factor.js";
import type { WaitingWork } from "../src/policy/waiting-work.js";
import { createWorkflowMetrics } from "../src/workflow-metrics.js";
import { testQueue } from "./test-queue.js";

/** Millicores of the room that waiting tasks get one after another. */
const room = 100_000;
/** Milliseconds that a task runs. */
const runTime = 1_000;
/** Milliseconds between two moments at which workflows come and room becomes free. */
const interval = 100;
/** Milliseconds of a burst. */
const burst = 8_000;

/** A cell whose room is taken in the order of urgency, by a test that submits to it. */
describe("the admission of short-lived work", () => {
    let admission: SubmissionAdmission;
    let ledgers: Map<JobId, WorkflowLedger>;
    let waiting: readonly WaitingWork[];
    let isRoomTaken: boolean;
    let lines: string[];
    let submitted: number;

    const createAdmission = (): SubmissionAdmission =>
        createSubmissionAdmission({
            cell: "a" as CellId,
            epoch: 1,
            queueOf: workflow => workflow.queue,
            runTime: () => runTime,
            scheduler: { startRate: () => isRoomTaken ? room : undefined, waitingWork: () => waiting },
            logger: pino({}, { write: line => lines.push(line) }),
            metrics: createWorkflowMetrics(new Registry()),
        });
    beforeEach(() => {
        jest.useFakeTimers();
        ledgers = new Map();
        waiting = [];
        isRoomTaken = true;
        lines = [];
        submitted = 0;
        admission = createAdmission();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    const workflowOf = (kind: string, origin = "east-a", count = 1): Workflow => ({
        id: (submitted += 1).toString(16).padStart(16, "0") as JobId,
        queue: { ...testQueue, name: kind, priority: 2 },
        payload: "",
        steps: [createStep({ count, cpu: 1_000 })],
        acceptedAt: Date.now(),
        origin: origin as FailureDomainId,
    });
    const submit = (workflow: Workflow): ReturnType<SubmissionAdmission["admit"]> => {
        const reply = admission.admit(workflow);
        if (reply.kind === "accepted") {
            ledgers.set(workflow.id, createWorkflowLedger(reply.workflow));
        }
        return reply;
    };
    /** Milliseconds for which a workflow can wait for room and be in time. */
    const spareTime = (testQueue.slackFactor - 1) * runTime + testQueue.latencyTarget;
    /** By the time of acceptance; work that is late goes after all other. */
    const orderOf = ({ workflow: { isLate, acceptedAt } }: WorkflowLedger): number =>
        acceptedAt + (isLate === true || Date.now() - acceptedAt > spareTime ? 1e9 : 0);
    /** Lets the room become free that does in one interval; returns the workflows that have started all tasks. */
    const advance = (): Workflow[] => {
        jest.advanceTimersByTime(interval);
        let places = room * interval / runTime / 1_000;
        const started: Workflow[] = [];
        for (const ledger of [...ledgers.values()].sort((left, right) => orderOf(left) - orderOf(right))) {
            for (const index of ledger.stage({ occurrence: 0, step: 0, index: 0 })?.record.waiting ?? []) {
                if (places >= 1) {
                    places -= 1;
                    ledger.recordStart({ occurrence: 0, step: 0, index });
                }
            }
            if (ledger.stage({ occurrence: 0, step: 0, index: 0 })?.record.waiting.size === 0) {
                ledgers.delete(ledger.workflow.id);
                started.push(ledger.workflow);
            }
        }
        waiting = [...ledgers.values()].map(({ workflow, stage }) => {
            const { priority, slackFactor, latencyTarget } = workflow.queue;
            const age = Date.now() - workflow.acceptedAt;
            const laxity = workflow.isLate === true ? -1 : spareTime - age;
            const expiryLaxity = uselessFactor * (slackFactor * runTime + latencyTarget) - runTime - age;
            const tasks = stage({ occurrence: 0, step: 0, index: 0 })?.record.waiting.size ?? 0;
            return {
                pool: "reserved",
                urgency: { lasting: "no", priority, laxity, expiryLaxity },
                work: tasks * 1_000 * runTime,
            };
        });
        return started;
    };
    /** Tasks that started in time, by key, in a burst in which `arrivals` come each interval. */
    const startedInTime = (
        arrivals: () => readonly Workflow[],
        keyOf: (workflow: Workflow) => string,
    ): Record<string, number> => {
        const counts: Record<string, number> = {};
        for (let at = 0; at < burst; at += interval) {
            arrivals().forEach(submit);
            for (const workflow of advance()) {
                const { acceptedAt, steps } = workflow;
                const isInTime = Date.now() - acceptedAt <= spareTime + interval;
                const tasks = isInTime ? steps.reduce((sum, { count }) => sum + count, 0) : 0;
                counts[keyOf(workflow)] = (counts[keyOf(workflow)] ?? 0) + tasks;
            }
        }
        return counts;
    };
    /** Tasks of one of two groups in the burst if the room is split evenly. */
    const evenSplit = room * burst / runTime / 1_000 / 2;

    // Guards against a day without contention on which submissions are refused, marked or counted as late.
    it("leaves all work as it is while none waits", () => {
        isRoomTaken = false;
        const workflow = workflowOf("scan", "east-a", 1_000);
        expect([admission.judge(workflow), submit(workflow), lines]).toEqual([
            { verdict: "in order", lateness: 0 },
            { kind: "accepted", workflow },
            [],
        ]);
    });

    // Guards against a burst of 2.4 times one kind that takes the room of another kind.
    it("keeps half of its even split for each kind in a burst of the other", () => {
        const { scan = 0, check = 0 } = startedInTime(
            () => [...Array<string>(12).fill("scan"), ...Array<string>(5).fill("check")].map(kind => workflowOf(kind)),
            ({ queue }) => queue.name,
        );
        expect([scan, check].filter(count => count < evenSplit / 2)).toEqual([]);
    });

    // Guards against a burst of the callers of one failure domain that takes the room of the others.
    it("keeps half of its even split for each failure domain in a burst from the other", () => {
        const counts = startedInTime(
            () =>
                [...Array<string>(12).fill("east-a"), ...Array<string>(5).fill("east-b")]
                    .map(domain => workflowOf("scan", domain)),
            ({ origin = "" }) => origin,
        );
        expect(Object.values(counts).filter(count => count < evenSplit / 2)).toEqual([]);
        expect(Object.keys(counts).sort()).toEqual(["east-a", "east-b"]);
    });

    // Guards against contention in which the largest workflows of a kind are always the ones that are turned away.
    it("admits the largest tenth of a kind at least half as often as the whole kind", () => {
        let asked = 0;
        const inTime = { all: 0, large: 0 };
        const askedOf = { all: 0, large: 0 };
        for (let at = 0; at < burst; at += interval) {
            for (let count = 0; count < 10; count += 1) {
                const isLarge = (asked += 1) % 10 === 0;
                const reply = submit(workflowOf("scan", "east-a", isLarge ? 12 : 1));
                const isAdmitted = reply.kind === "accepted" && reply.workflow.isLate !== true;
                askedOf.all += 1;
                inTime.all += isAdmitted ? 1 : 0;
                askedOf.large += isLarge ? 1 : 0;
                inTime.large += isLarge && isAdmitted ? 1 : 0;
            }
            advance();
        }
        expect(inTime.large / askedOf.large).toBeGreaterThanOrEqual(inTime.all / askedOf.all / 2);
    });

    // Guards against work that is accepted, or refused, though its result is useless, or of use, to its submitter.
    it("accepts what is late and still useful, and refuses what is not", () => {
        submit(workflowOf("scan"));
        const kinds: string[] = [];
        for (let count = 0; count < 900; count += 1) {
            const reply = submit(workflowOf("scan"));
            kinds.push(reply.kind);
        }
        // 100 tasks start each second. A submission can wait for 6.5 s to be of use.
        const firstRefused = kinds.indexOf("refused");
        expect([firstRefused, kinds.slice(firstRefused).includes("accepted")]).toEqual([650, false]);
    });

    // Guards against refused callers that all return at once, and are served after callers that have just come.
    it("lets refused callers return one after another, each before those that came later", () => {
        for (let count = 0; count < 651; count += 1) {
            submit(workflowOf("scan"));
        }
        const refused = Array.from({ length: 200 }, () => workflowOf("scan"));
        const times = refused.map(workflow => {
            const reply = submit(workflow);
            return reply.kind === "refused" ? reply.retryAfter : 0;
        });
        expect(times).toEqual([...times].sort((left, right) => left - right));
        expect([times[0], times[199]]).toEqual([1_000, expect.closeTo(2_030, -2)]);
        for (let at = 0; at < 1_000; at += interval) {
            advance();
        }
        const accepted = (workflows: readonly Workflow[]): readonly Workflow[] =>
            workflows.flatMap(workflow => {
                const reply = submit({ ...workflow, acceptedAt: Date.now() });
                return reply.kind === "accepted" && reply.workflow.isLate !== true ? [reply.workflow] : [];
            });
        const newcomers = accepted(Array.from({ length: 100 }, () => workflowOf("scan")));
        const returned = accepted(refused.slice(0, 100));
        expect([newcomers.length, returned.length]).toEqual([0, 100]);
        expect(returned.every(({ acceptedAt }) => acceptedAt < Date.now())).toBe(true);
    });

    // Guards against a holder that is killed in a burst, after which its successor starts without shares.
    it("has the shares of the stored workflows after a takeover", () => {
        const stored = [
            ...Array.from({ length: 120 }, () => workflowOf("scan")),
            ...Array.from({ length: 20 }, () => ({ ...workflowOf("check"), isLate: true })),
        ];
        stored.forEach(workflow => ledgers.set(workflow.id, createWorkflowLedger(workflow)));
        advance();
        const verdicts = (): readonly string[] =>
            ["scan", "check"].map(kind => admission.judge(workflowOf(kind)).verdict);
        const withoutShares = verdicts();
        stored.forEach(workflow => {
            admission.inherit(workflow);
        });
        expect([withoutShares, verdicts()]).toEqual([["in order", "in order"], ["late", "in order"]]);
    });
});
