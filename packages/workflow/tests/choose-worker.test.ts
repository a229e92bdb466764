import type { WorkerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { createStep } from "../src/model/create-step.js";
import { chooseWorker } from "../src/policy/choose-worker.js";
import type { WorkerCandidate } from "../src/policy/worker-candidate.js";

const candidate = (id: string, changes: Partial<WorkerCandidate> = {}): WorkerCandidate => ({
    id: id as WorkerId,
    rack: "r-1",
    capacityCpu: 10_000,
    freeCpu: 6_000,
    idleCpu: 6_000,
    servingImages: new Map(),
    slackBefore: Infinity,
    slackAfter: Infinity,
    otherWorkflowCount: 0,
    compatibleShareLoss: 0,
    speed: 1,
    hasFailedBefore: false,
    ...changes,
});

describe("chooseWorker", () => {
    const serving = createStep({ isLasting: true, tailTarget: 50, image: "a" });
    const spare = createStep({ usesSpareCpu: true, image: "x" });

    it.each([
        ["the tightest fit for reserving tasks, which keeps room for large ones", createStep(), [
            candidate("w1"),
            candidate("w2", { freeCpu: 1_500 }),
        ], "w2"],
        ["the tightest fit among workers with serving tasks of the same image", serving, [
            candidate("w1", { servingImages: new Map([["a", 1]]) }),
            candidate("w2", { freeCpu: 2_000, servingImages: new Map([["a", 1]]) }),
        ], "w2"],
        ["the rack of the data rather than more room", createStep({ preferredRack: "r-2" }), [
            candidate("w1", { freeCpu: 9_000 }),
            candidate("w2", { rack: "r-2" }),
        ], "w2"],
        ["another worker than the one on which the task failed", createStep(), [
            candidate("w1", { freeCpu: 9_000, hasFailedBefore: true }),
            candidate("w2"),
        ], "w2"],
        ["the worker on which the task failed where there is no other", createStep(), [
            candidate("w1", { hasFailedBefore: true }),
        ], "w1"],
        ["a worker with serving tasks of the same image", serving, [
            candidate("w1", { servingImages: new Map([["b", 1]]), compatibleShareLoss: 0.24 }),
            candidate("w2", { freeCpu: 3_000, servingImages: new Map([["a", 2]]) }),
        ], "w2"],
        ["an empty worker rather than one with serving tasks of another image", serving, [
            candidate("w1", { servingImages: new Map([["b", 1]]), compatibleShareLoss: 0.24 }),
            candidate("w2"),
        ], "w2"],
        ["a worker with mixed images rather than one with a single other image", serving, [
            candidate("w1", { servingImages: new Map([["b", 1]]), compatibleShareLoss: 0.24 }),
            candidate("w2", { servingImages: new Map([["b", 2], ["c", 3]]), compatibleShareLoss: 0.1 }),
        ], "w2"],
        ["the worker that loses the least share of its slack to a spare-CPU task", spare, [
            candidate("w1", { slackBefore: 2, slackAfter: 1.2 }),
            candidate("w2", { slackBefore: 0.5, slackAfter: 0.45 }),
        ], "w2"],
        [
            "no worker whose serving tasks would miss their targets",
            spare,
            [candidate("w1", { slackBefore: 0.3, slackAfter: 0.05 })],
            undefined,
        ],
        [
            "no worker with busy CPUs, for spare-CPU tasks",
            spare,
            [candidate("w1", { idleCpu: 300 })],
            undefined,
        ],
    ])("takes %s", (...[, step, candidates, expected]) => {
        expect(chooseWorker(step, candidates)?.id).toBe(expected);
    });
});
