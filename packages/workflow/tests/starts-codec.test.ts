import type { WorkerId } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { startsCodec } from "../src/cell/starts-codec.js";
import type { StoredStart, StoredStarts } from "../src/cell/stored-starts.js";
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

describe("codec of the row of unanswered starts", () => {
    // Guards against a holder whose writes all fail, since the store refuses rows over 64 KB.
    it("fits the newest starts into a row, however many there are", () => {
        const encoded = startsCodec.encode({ restartAge: 59_999, starts: starts(5_000) });
        expect(Buffer.byteLength(encoded)).toBeLessThan(maxRowBytes);
        expect(startsCodec.decode(encoded).starts.at(-1)).toEqual(starts(5_000).at(-1));
    });

    it.each<StoredStarts>([
        { restartAge: 400, starts: starts(40) },
        { restartAge: undefined, starts: [] },
    ])("decodes what it encoded", stored => {
        expect(startsCodec.decode(startsCodec.encode(stored))).toEqual(stored);
    });
});
