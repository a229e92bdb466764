import { Readable } from "node:stream";

/** A request body that can be opened again for a retry if it is short enough to be buffered. */
export interface ReplayableBody {
    /** Opens the body from its start; undefined if it was opened before and is too long to be buffered. */
    readonly open: () => Readable | undefined;
    /** Whether the whole body is buffered, so that it can be opened any number of times. */
    readonly isReplayable: boolean;
}

/** Buffers up to `limit` bytes of `source`; a longer body is streamed and can be opened only once. */
export const createReplayableBody = async (source: Readable, limit: number): Promise<ReplayableBody> => {
    const buffered: Buffer[] = [];
    let length = 0;
    const iterator = source[Symbol.asyncIterator]() as AsyncIterator<Uint8Array>;
    while (length <= limit) {
        const next = await iterator.next();
        if (next.done === true) {
            return { isReplayable: true, open: () => Readable.from(buffered, { objectMode: false }) };
        }
        const part = Buffer.from(next.value);
        buffered.push(part);
        length += part.length;
    }
    let isOpened = false;
    const streamAll = async function*(): AsyncGenerator<Uint8Array> {
        yield* buffered;
        for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
            yield next.value;
        }
    };
    return {
        isReplayable: false,
        open: () => {
            if (isOpened) {
                return undefined;
            }
            isOpened = true;
            return Readable.from(streamAll(), { objectMode: false });
        },
    };
};
