import type { CellId, FailureDomainId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";
import pino from "pino";
import { Registry } from "prom-client";

import { createEvacuationMonitor } from "../src/evacuation/evacuation-monitor.js";
import { createWorkflowMetrics } from "../src/workflow-metrics.js";
import { createTestCell } from "./test-cell.js";

describe("the monitor of evacuations", () => {
    // Guards against operators who can't see that a domain is being evacuated, how many tasks are left and what waits.
    it("tells each change once, and how many tasks are left", async () => {
        const lines: Record<string, unknown>[] = [];
        const registry = new Registry();
        const cell = createTestCell({ workers: 2, cpu: 8_000, runTime: 1_000 });
        cell.submit({}, [{ count: 3, cpu: 1_000 }]);
        cell.scheduler.runPass();
        let version: number | undefined;
        const monitor = createEvacuationMonitor({
            cell: "all" as CellId,
            epoch: 2,
            workers: cell.workers,
            runRegistry: cell.runRegistry,
            evacuations: {
                mayStartIn: () => version === undefined,
                isEvacuated: domain => domain === "east-a" as FailureDomainId && version !== undefined,
                versionOf: () => version,
                age: () => 40,
            },
            countWaiting: () => 5,
            metrics: createWorkflowMetrics(registry),
            logger: pino({ base: {}, timestamp: false }, {
                write: line => {
                    lines.push(JSON.parse(line) as Record<string, unknown>);
                },
            }),
        });
        const tasksLeft = async (): Promise<unknown> =>
            (await registry.getSingleMetric("jayfront_evacuated_domain_tasks")?.get())?.values.map(({ value }) =>
                value
            );
        monitor.review();
        version = 7;
        monitor.review();
        monitor.review();
        expect(await tasksLeft()).toEqual([3]);
        [...cell.runRegistry.all()].forEach(run => {
            cell.endRun(run, "done");
        });
        monitor.review();
        version = undefined;
        monitor.review();
        expect(await tasksLeft()).toEqual([]);
        const common = { level: 30, cell: "all", epoch: 2, failureDomain: "east-a", version: 7, age: 40, waiting: 5 };
        expect(lines).toEqual([
            { ...common, tasksLeft: 3, msg: "evacuation requested; starting nothing there" },
            { ...common, tasksLeft: 0, msg: "evacuated; nothing runs there" },
            { ...common, tasksLeft: 0, msg: "evacuation request removed; the domain is in use again" },
        ]);
    });
});
