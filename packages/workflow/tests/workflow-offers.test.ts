import type { CellId, JobId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";

import { createWorkflowOffers } from "../src/cell/workflow-offers.js";
import { createStep } from "../src/model/create-step.js";
import type { Step } from "../src/model/step.js";
import type { Workflow } from "../src/model/workflow.js";
import { createTestCell } from "./test-cell.js";

const servingStep: Partial<Step> = { count: 4, cpu: 2_000, memory: 1, isLasting: true, tailTarget: 10, image: "desk" };
const spareStep: Partial<Step> = { count: 4, cpu: 16_000, memory: 1, usesSpareCpu: true, image: "batch" };

describe("an offer to a workflow of another cell", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const createOffers = (...steps: Partial<Step>[]) => {
        const cell = createTestCell({ workers: 2, cpu: 16_000, runTime: 1_000 });
        const { workflow } = cell.submit({}, steps);
        cell.scheduler.runPass();
        const logger = pino({ level: "silent" });
        const offers = createWorkflowOffers({
            cell: "other" as CellId,
            workers: cell.workers,
            scheduler: cell.scheduler,
            logger,
        });
        return (id: string, step: Partial<Step>): number => {
            const request: Workflow = { ...workflow, id: id as JobId, steps: [createStep(step)] };
            return offers.offer({ workflow: request, stepIndex: 0, count: step.count ?? 1 });
        };
    };

    // Guards against several workflows that move to the same places.
    it("counts a place only once, until the workflow has had the time to arrive", () => {
        const offer = createOffers({ count: 1, cpu: 2_000, memory: 1 });
        const step = { count: 4, cpu: 5_000, memory: 1 };
        expect([offer("a1", step), offer("a2", step), offer("a1", step)]).toEqual([4, 1, 4]);
        jest.advanceTimersByTime(1_100);
        expect(offer("a2", step)).toBe(4);
    });

    // Guards against a workflow that moves to a cell where it would disturb serving tasks on all workers.
    it("has no place where the workflow has to wait as well", () => {
        const offer = createOffers(servingStep, spareStep);
        expect(offer("a1", spareStep)).toBe(0);
    });

    // Guards against a gang that moves to a cell where only some of its members fit.
    it("is made to a gang as a whole", () => {
        const offer = createOffers({ count: 1, cpu: 2_000, memory: 1 });
        const gang = { cpu: 7_000, memory: 1, isGang: true };
        expect([offer("a1", { ...gang, count: 5 }), offer("a2", { ...gang, count: 3 })]).toEqual([0, 3]);
    });
});
