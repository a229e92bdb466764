import type { JobId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { createRunNumbers } from "../src/cell/run-numbers.js";
import { taskName } from "../src/model/task-name.js";

const task = taskName({ job: "00000000000000aa" as JobId, occurrence: 0, step: 0, index: 0 });

describe("run numbers", () => {
    it("rise from one holder to the next", () => {
        const first = createRunNumbers(1);
        first.markUsed(task, first.next(task));
        expect(createRunNumbers(2).next(task)).toBeGreaterThan(first.next(task));
    });

    // Guards against a number that is assigned twice, to runs of successive holders of the cell that a task moved to. A
    // worker refuses a run whose number is not above all that ended there.
    it.each([1, 2, 3, 9])("rise from one holder to the next for a task of a cell with epoch %d", homeEpoch => {
        const lastRun = createRunNumbers(homeEpoch).next(task);
        const numbers: number[] = [];
        for (const epoch of [1, 2, 3]) {
            const holder = createRunNumbers(epoch);
            holder.reserve(task, lastRun);
            for (let run = 0; run < 2; run += 1) {
                numbers.push(holder.next(task));
                holder.markUsed(task, holder.next(task));
            }
        }
        expect(numbers).toEqual([...new Set([lastRun, ...numbers])].sort((left, right) => left - right).slice(1));
    });
});
