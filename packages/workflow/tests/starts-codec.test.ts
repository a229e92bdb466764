import type { WorkerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { startsCodec } from "../src/cell/starts-codec.js";
import type { LocatedTask, StoredAbsences, StoredStart } from "../src/cell/stored-starts.js";
import type { TaskName } from "../src/model/task-name.js";

/** Largest row in bytes that the platform's store accepts. */
const maxRowBytes = 65_536;

const starts = (count: number): readonly StoredStart[] =>
    [...Array(count).keys()].map(number => ({
        task: `ffffffffffffffff.999.99.${String(number)}` as TaskName,
        run: 4_096_000 + number,
        worker: `i-${number.toString(16).padStart(10, "0")}` as WorkerId,
        age: 11_999,
        isLasting: number % 2 === 0,
        mayBeDelayed: number % 3 === 0,
        isIncarnationOver: number % 5 === 0,
    }));

const absentTasks = (count: number): readonly TaskName[] =>
    [...Array(count).keys()].map(number => `ffffffffffffffff.999.99.${String(number)}` as TaskName);

const locatedTasks = (count: number): readonly LocatedTask[] =>
    absentTasks(count).map((task, number) => ({
        task,
        workers: number % 2 === 0 ? [] : [`i-${number.toString(16).padStart(10, "0")}` as WorkerId],
    }));

describe("codec of the row of unanswered starts and absent tasks", () => {
    // Guards against a holder whose writes all fail, since the store refuses rows over 64 KB.
    it("fits the newest starts into a row, however many there are", () => {
        const encoded = startsCodec.encode({
            restartAge: 59_999,
            lateSignAge: 5_999,
            starts: starts(5_000),
            hasAllStarts: true,
            epoch: 7,
            absentTasks: absentTasks(5_000),
            locatedTasks: locatedTasks(5_000),
        });
        expect(Buffer.byteLength(encoded)).toBeLessThan(maxRowBytes);
        const decoded = startsCodec.decode(encoded);
        expect(decoded.starts.at(-1)).toEqual(starts(5_000).at(-1));
        // Else the next holder would take the workers that are named for all on which a task may run.
        expect(decoded.hasAllStarts).toBe(false);
    });

    // Guards against a cell that can't be loaded while its absent tasks alone would fill more than a row.
    it("fits absent tasks into the rest of a row", () => {
        const encoded = startsCodec.encode({
            restartAge: undefined,
            lateSignAge: undefined,
            starts: starts(400),
            hasAllStarts: true,
            epoch: 7,
            absentTasks: absentTasks(5_000),
            locatedTasks: [],
        });
        expect(Buffer.byteLength(encoded)).toBeLessThan(maxRowBytes);
        expect(startsCodec.decode(encoded).absentTasks.length).toBeGreaterThan(700);
    });

    it("fits located tasks into the rest of a row", () => {
        const encoded = startsCodec.encode({
            restartAge: undefined,
            lateSignAge: undefined,
            starts: starts(400),
            hasAllStarts: true,
            epoch: 7,
            absentTasks: absentTasks(5_000),
            locatedTasks: locatedTasks(5_000),
        });
        expect(Buffer.byteLength(encoded)).toBeLessThan(maxRowBytes);
        expect(startsCodec.decode(encoded).locatedTasks.length).toBeGreaterThan(500);
    });

    it("decodes a row of an earlier version, which names no absent tasks", () => {
        expect(startsCodec.decode(JSON.stringify({ starts: [] })).absentTasks).toEqual([]);
    });

    it.each<StoredAbsences>([
        {
            restartAge: 400,
            lateSignAge: 30,
            starts: starts(40),
            hasAllStarts: true,
            epoch: 7,
            absentTasks: absentTasks(3),
            locatedTasks: locatedTasks(4),
        },
        {
            restartAge: undefined,
            lateSignAge: undefined,
            starts: [],
            hasAllStarts: false,
            epoch: 7,
            absentTasks: [],
            locatedTasks: [],
        },
    ])("decodes what it encoded", stored => {
        expect(startsCodec.decode(startsCodec.encode(stored))).toEqual(stored);
    });
});
