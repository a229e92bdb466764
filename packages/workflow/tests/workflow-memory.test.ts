import type { JobId } from "@jayfront/world";
import { beforeEach, describe, expect, it } from "@jest/globals";

import type { WorkflowMemory } from "../src/cell/workflow-memory.js";
import { createWorkflowMemory } from "../src/cell/workflow-memory.js";
import { createStep } from "../src/model/create-step.js";
import { estimateLedgerBytes } from "../src/model/estimate-ledger-bytes.js";
import type { Workflow } from "../src/model/workflow.js";
import type { MemoryAllowance } from "../src/port/memory-allowance.js";
import { testQueue } from "./test-queue.js";

const workflowOf = (id: string, steps: number): Workflow => ({
    id: id as JobId,
    queue: testQueue,
    payload: "",
    steps: Array.from({ length: steps }, () => createStep()),
    acceptedAt: 0,
});

describe("the memory of accepted workflows", () => {
    let left: number;
    let lost: AbortController;
    beforeEach(() => {
        lost = new AbortController();
    });
    const createMemory = (): WorkflowMemory => createWorkflowMemory(allowance, lost.signal);
    const allowance: MemoryAllowance = {
        take: bytes => {
            const isTaken = bytes <= left;
            left -= isTaken ? bytes : 0;
            return isTaken;
        },
        hold: bytes => {
            left -= bytes;
        },
        giveBack: bytes => {
            left += bytes;
        },
    };

    // Guards against a process that ends for lack of memory, since it accepts large workflows without bound (issue 64).
    it("is bounded over all cells of a host, and leaves room for small workflows beside large ones", () => {
        left = 2_000_000;
        const cells = [createMemory(), createMemory()];
        const reserved = Array.from(
            { length: 6 },
            (...[, number]) => cells[number % 2]?.reserve(workflowOf(`large-${String(number)}`, 200)),
        );
        expect(reserved).toEqual([true, true, false, false, false, false]);
        expect(cells[0]?.reserve(workflowOf("small", 2))).toBe(true);
    });

    // Guards against memory that is counted twice for a submission that is repeated, or never given back.
    it("is taken once a workflow, and given back once", () => {
        left = 1_000_000;
        const memory = createMemory();
        const workflow = workflowOf("a", 10);
        memory.reserve(workflow);
        memory.reserve(workflow);
        memory.hold(workflow);
        expect(left).toBe(1_000_000 - estimateLedgerBytes(workflow));
        memory.release(workflow.id);
        memory.release(workflow.id);
        expect(left).toBe(1_000_000);
    });

    // Guards against workflows of an earlier holder that nobody runs, and memory that a lost cell keeps, also if it is
    // lost while it loads them.
    it("holds stored workflows over its bound, and gives all back with the cell", () => {
        left = 1_000;
        const memory = createMemory();
        memory.hold(workflowOf("a", 10));
        expect([left < 0, memory.reserve(workflowOf("b", 1))]).toEqual([true, false]);
        lost.abort();
        memory.hold(workflowOf("c", 10));
        expect([left, memory.reserve(workflowOf("d", 0))]).toEqual([1_000, false]);
    });
});
