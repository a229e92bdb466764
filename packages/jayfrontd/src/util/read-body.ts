import type { Readable } from "node:stream";

/** Reads the whole of `body`; undefined if it is longer than `limit` bytes or the stream fails before its end. */
export const readBody = async (body: Readable, limit: number): Promise<Buffer | undefined> => {
    const parts: Uint8Array[] = [];
    let length = 0;
    try {
        for await (const part of body) {
            const bytes = Buffer.from(part as Uint8Array);
            length += bytes.length;
            if (length > limit) {
                return undefined;
            }
            parts.push(bytes);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(parts);
};
