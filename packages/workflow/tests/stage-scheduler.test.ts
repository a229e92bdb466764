import { describe, expect, it } from "@jest/globals";

import { createTestCell } from "./test-cell.js";

describe("a placement pass", () => {
    // Guards against a holder whose processor can't carry a whole site: each task that looked for a worker went through
    // the state of all of them again.
    it("goes through the workers once, and again only for one on which something has started", () => {
        const cell = createTestCell({ workers: 50, cpu: 16_000, runTime: 1_000 });
        for (const image of ["a", "b", "c"]) {
            cell.submit({ priority: 2 }, [{ count: 20, cpu: 2_000, usesSpareCpu: true, image }]);
        }
        cell.scheduler.pass();
        const started = [...cell.book.all()].length;
        expect(started).toBe(60);
        expect(cell.counts.surveys).toBeLessThanOrEqual(50 + started);
        expect(cell.counts.deadlines).toBe(50);
    });

    // Guards against the same by what stands on workers: each waiting step asked for the pressure of all neighbours on
    // each other again.
    it("asks for the pressure of present neighbours once for each worker and image", () => {
        const cell = createTestCell({ workers: 10, cpu: 16_000, runTime: 1_000 });
        cell.submit({}, [{ count: 40, cpu: 4_000, isLasting: true, image: "serving", tailTarget: 100 }]);
        cell.submit({ priority: 2 }, [{ count: 20, cpu: 1_000, usesSpareCpu: true, image: "present" }]);
        cell.scheduler.pass();
        const waiting = 20;
        for (let step = 0; step < waiting; step += 1) {
            const image = `image-${String(step)}`;
            cell.submit({ priority: 2 }, [{ count: 5, cpu: 60_000, usesSpareCpu: true, image }]);
        }
        const before = [...cell.book.all()].length;
        cell.counts.pressures = 0;
        cell.scheduler.pass();
        expect([...cell.book.all()]).toHaveLength(before);
        expect(cell.counts.pressures).toBeLessThanOrEqual(before + 10 * waiting);
    });
});
