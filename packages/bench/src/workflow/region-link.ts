/** Rate-limited links between regions that count the bytes they transfer. */
export interface RegionLink {
    /** Resolves when the bytes have arrived. Transfers from one region to another queue behind each other. */
    readonly transfer: (from: string, to: string, bytes: number) => Promise<void>;
    /** Bytes sent from one region to another so far, those under way included. */
    readonly bytesTransferred: (from: string, to: string) => number;
}

/** Transfer time of one byte at one megabit per second, in ms. */
const msPerByteAtOneMegabit = 0.008;

/** Creates links with a rate of `megabitsPerSecond` in each direction. */
export const createRegionLink = (megabitsPerSecond: number): RegionLink => {
    const bytesSent = new Map<string, number>();
    const freeAt = new Map<string, number>();
    const directionOf = (from: string, to: string): string => `${from} ${to}`;
    return {
        transfer: async (from, to, bytes) => {
            const direction = directionOf(from, to);
            const arrival = Math.max(performance.now(), freeAt.get(direction) ?? 0)
                + bytes * msPerByteAtOneMegabit / megabitsPerSecond;
            bytesSent.set(direction, (bytesSent.get(direction) ?? 0) + bytes);
            freeAt.set(direction, arrival);
            await new Promise<void>(resolve => {
                setTimeout(resolve, arrival - performance.now());
            });
        },
        bytesTransferred: (from, to) => bytesSent.get(directionOf(from, to)) ?? 0,
    };
};
