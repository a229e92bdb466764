/** Bytes of memory that all callers together may hold. What is taken is given back by whoever took it, once. */
export interface MemoryBudget {
    /** Takes `bytes`; false, and nothing is taken, if fewer are left. */
    readonly take: (bytes: number) => boolean;
    /** Takes `bytes`, however many are left. */
    readonly hold: (bytes: number) => void;
    readonly giveBack: (bytes: number) => void;
    /** Bytes that are taken now. */
    readonly taken: () => number;
}

/** Creates a budget of `limit` bytes. */
export const createMemoryBudget = (limit: number): MemoryBudget => {
    let taken = 0;
    return {
        take: bytes => {
            if (taken + bytes > limit) {
                return false;
            }
            taken += bytes;
            return true;
        },
        hold: bytes => {
            taken += bytes;
        },
        giveBack: bytes => {
            taken -= bytes;
        },
        taken: () => taken,
    };
};
