import type { SubmissionAnswer } from "@jayfront/workflow";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import pino from "pino";

import type { FakeTime } from "../../src/util/fake-time.js";
import { installFakeTime } from "../../src/util/fake-time.js";
import type { WorkflowCluster } from "../../src/workflow/workflow-cluster.js";
import { createWorkflowCluster } from "../../src/workflow/workflow-cluster.js";

/** Milliseconds until the cell has a holder that knows its workers. */
const warmUp = 6_000;
/** Milliseconds between two submissions; each takes all room of the cell for a fifth of `work`. */
const interval = 100;
const work = 1_000;
/** Milliseconds within which a submission that nobody has use of has to be refused: a quarter of its objective. */
const refusalBound = (2 * work + 500) / 4;

describe("a cell that gets twice the work for which it has room", () => {
    let time: FakeTime;
    let cluster: WorkflowCluster;
    let verdicts: string[];
    /** Answers by id, with the ms that each took. */
    let answers: Map<string, SubmissionAnswer & { readonly after: number; }>;
    beforeEach(async () => {
        time = installFakeTime();
        verdicts = [];
        answers = new Map();
        const logger = pino({}, {
            write: (line: string) => {
                const { msg, verdict } = JSON.parse(line) as { msg: string; verdict?: string; };
                if (msg === "submission can not be in time" && verdict !== undefined) {
                    verdicts.push(verdict);
                }
            },
        });
        cluster = createWorkflowCluster({ hosts: { "east-a": 3 }, workers: { "east-a": 10 }, logger });
        await time.advance(warmUp);
    });
    afterEach(() => {
        cluster.stop();
        time.restore();
    });

    const submitFor = async (duration: number): Promise<void> => {
        for (let at = 0; at < duration; at += interval) {
            const id = (answers.size + 1).toString(16).padStart(16, "0");
            const submittedAt = performance.now();
            const host = [...cluster.hosts.keys()].find(each => each !== cluster.holder()) ?? "";
            answers.set(id, { kind: "unknown", reason: "no answer", after: Infinity });
            const step = { count: 8, cpu: 4_000, memory: 100, expectedRunTime: work };
            void cluster.submit(host, id, [step], { work }).then(answer => {
                answers.set(id, { ...answer, after: performance.now() - submittedAt });
            });
            await time.advance(interval);
        }
        await time.advance(1_000);
    };
    const refused = (): readonly string[] =>
        [...answers].filter(([, { kind }]) => kind === "unavailable").map(([id]) => id);
    const startsOf = (id: string): number =>
        cluster.platform.journal.events.filter(({ kind, task }) => kind === "started" && task.startsWith(id)).length;

    // Guards against a cell that accepts work of which nobody has use, or refuses it late, without a time or after a start.
    it("accepts late work while it is of use, and refuses the rest at once", async () => {
        await submitFor(30_000);
        expect([verdicts.includes("late"), verdicts.includes("refused"), refused().length > 0]).toEqual([
            true,
            true,
            true,
        ]);
        const late = refused().filter(id => (answers.get(id)?.after ?? Infinity) > refusalBound);
        const withoutTime = refused().filter(id => (answers.get(id)?.retryAfter ?? 0) < 1);
        const started = refused().filter(id => startsOf(id) > 0);
        expect([late, withoutTime, started]).toEqual([[], [], []]);
    });

    // Guards against a holder killed in the contention after which accepted work is lost or refused work runs.
    it("runs what it has accepted, and nothing else, after its holder was killed", async () => {
        await submitFor(15_000);
        const killed = cluster.holder() ?? "";
        cluster.kill(killed);
        await submitFor(8_000);
        await time.advance(30_000);
        const accepted = [...answers].filter(([, { kind }]) => kind === "accepted").map(([id]) => id);
        expect(accepted.filter(id => startsOf(id) < 8)).toEqual([]);
        expect(refused().filter(id => startsOf(id) > 0)).toEqual([]);
        expect(verdicts).toContain("late");
    });
});
