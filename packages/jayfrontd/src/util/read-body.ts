import type { Readable } from "node:stream";

/** Parts of a body that are joined at a time: each has its own object, which may be far larger than its bytes. */
const joinedParts = 256;
/** Parts of a body: in a body of 256 KB, 16 bytes each. Each takes processor time, however small it is. */
const mostParts = 16_384;

/**
 * Reads the whole of `body`; undefined if it is longer than `limit` bytes, has more than 16,384 parts, or the stream fails before its end. `take` is
 * called with the length of each part before it is kept; if it returns false, the result is undefined, too. The stream
 * is destroyed if the rest of it is not read.
 */
export const readBody = (
    body: Readable,
    limit: number,
    take: (bytes: number) => boolean = () => true,
): Promise<Buffer | undefined> =>
    new Promise(resolve => {
        const joined: Buffer[] = [];
        let parts: Buffer[] = [];
        let length = 0;
        let count = 0;
        body.on("data", (part: Uint8Array) => {
            length += part.length;
            count += 1;
            if (length > limit || count > mostParts || !take(part.length)) {
                resolve(undefined);
                body.destroy();
                return;
            }
            parts.push(Buffer.isBuffer(part) ? part : Buffer.from(part));
            if (parts.length === joinedParts) {
                joined.push(Buffer.concat(parts));
                parts = [];
            }
        });
        body.once("end", () => {
            const [only] = parts;
            resolve(joined.length === 0 && parts.length === 1 ? only : Buffer.concat([...joined, ...parts]));
        });
        const fail = (): void => {
            resolve(undefined);
        };
        body.on("error", fail);
        body.once("close", fail);
        if (body.destroyed) {
            fail();
        }
    });
