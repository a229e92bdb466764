import { Readable } from "node:stream";

import { describe, expect, it } from "@jest/globals";

import { readBody } from "../src/util/read-body.js";

describe("reading a body", () => {
    // Guards against a body that is changed when its parts, thousands of a byte each, are joined.
    it.each([[1, 16_384], [1_000, 3], [0, 0]])("joins parts of %i bytes, %i of them", async (bytes, count) => {
        const parts = Array.from({ length: count }, (...[, number]) => Buffer.alloc(bytes, number));
        expect(await readBody(Readable.from(parts), bytes * count)).toEqual(Buffer.concat(parts));
    });

    // Guards against a body that is kept although no memory is left for it, and against a wait without end.
    it("stops at the limit, where memory ends, where the stream fails, and among too many parts", async () => {
        const parts = (): Readable => Readable.from([Buffer.alloc(10), Buffer.alloc(10)]);
        const tiny = Readable.from(Array.from({ length: 16_385 }, () => Buffer.alloc(1)));
        const failed = parts();
        failed.destroy();
        let taken = 0;
        const take = (bytes: number): boolean => {
            taken += bytes;
            return taken <= 10;
        };
        const results = [
            readBody(parts(), 19),
            readBody(parts(), 20, take),
            readBody(failed, 20),
            readBody(tiny, 20_000),
        ];
        expect(await Promise.all(results)).toEqual([undefined, undefined, undefined, undefined]);
    });
});
