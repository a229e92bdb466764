import type { Readable } from "node:stream";
import { pipeline, Transform } from "node:stream";

/** Returns a stream with the content of `source` that fails once it exceeds `limit` bytes. */
export const limitBody = (source: Readable, limit: number): Readable => {
    let length = 0;
    const limiter = new Transform({
        transform: (part: Buffer, ...[, done]) => {
            length += part.length;
            if (length > limit) {
                done(new Error(`the body exceeds the limit of ${String(limit)} bytes; send a shorter one`));
                return;
            }
            done(undefined, part);
        },
    });
    pipeline(source, limiter, () => {
        // An error reaches whoever reads the returned stream.
    });
    return limiter;
};
