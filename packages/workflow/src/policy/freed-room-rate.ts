/** Rate at which runs that end free processor time, by a key such as a rack; recent ends count most. */
export interface FreedRoomRate {
    /** Records that a run which held `cpu` millicores has ended at the monotonic time `now` in ms. */
    readonly record: (key: string, cpu: number, now: number) => void;
    /** Millicores that become free per millisecond; 0 for a key without ends. Low for a key that is seldom observed. */
    readonly rate: (key: string, now: number) => number;
}

/** Ends recorded for one key. */
interface FreedRoom {
    /** Millicores freed, each aged to the time `at`. */
    cpu: number;
    /** Monotonic time in ms. */
    at: number;
}

/** Milliseconds in which the weight of an end falls to 1/e; a few run times of short-lived tasks. */
const agingTime = 2_000;

/** Creates a rate without recorded ends. */
export const createFreedRoomRate = (): FreedRoomRate => {
    const freed = new Map<string, FreedRoom>();
    const aged = ({ cpu, at }: FreedRoom, now: number): number => cpu * Math.exp((at - now) / agingTime);
    return {
        record: (key, cpu, now) => {
            const room = freed.get(key);
            if (room === undefined) {
                freed.set(key, { cpu, at: now });
            }
            else {
                room.cpu = aged(room, now) + cpu;
                room.at = now;
            }
        },
        rate: (key, now) => {
            const room = freed.get(key);
            return room === undefined ? 0 : aged(room, now) / agingTime;
        },
    };
};
