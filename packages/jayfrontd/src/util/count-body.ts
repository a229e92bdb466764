import type { Readable } from "node:stream";
import { pipeline, Transform } from "node:stream";

/**
 * Returns a stream with the content of `source` and reports the length of each part to `onBytes`. An error of `source`
 * destroys the returned stream, too.
 */
export const countBody = (source: Readable, onBytes: (bytes: number) => void): Readable => {
    const counter = new Transform({
        transform: (part: Uint8Array, ...[, done]) => {
            onBytes(part.length);
            done(undefined, part);
        },
    });
    pipeline(source, counter, () => {
        // An error reaches whoever reads the returned stream.
    });
    return counter;
};
