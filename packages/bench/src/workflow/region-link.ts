/** Links between regions of a limited rate, which count what they carry. */
export interface RegionLink {
    /** Ends when the bytes have arrived; each pair of regions carries one thing after the other. */
    readonly transfer: (from: string, to: string, bytes: number) => Promise<void>;
    /** Bytes sent from one region to another so far. */
    readonly bytesTransferred: (from: string, to: string) => number;
}

/** Milliseconds that a byte takes at one megabit per second. */
const millisecondsPerByte = 0.008;

/** Creates links that carry `megabits` per second each way. */
export const createRegionLink = (megabits: number): RegionLink => {
    const bytesSent = new Map<string, number>();
    const freeAt = new Map<string, number>();
    const pairOf = (from: string, to: string): string => `${from} ${to}`;
    return {
        transfer: async (from, to, bytes) => {
            const pair = pairOf(from, to);
            const arrival = Math.max(performance.now(), freeAt.get(pair) ?? 0) + bytes * millisecondsPerByte / megabits;
            bytesSent.set(pair, (bytesSent.get(pair) ?? 0) + bytes);
            freeAt.set(pair, arrival);
            await new Promise<void>(resolve => {
                setTimeout(resolve, arrival - performance.now());
            });
        },
        bytesTransferred: (from, to) => bytesSent.get(pairOf(from, to)) ?? 0,
    };
};
