/** Limits a rate of bytes. Spending may overdraw the budget, which then has no balance until it has refilled. */
export interface ByteBudget {
    /** Whether the balance is above zero. */
    readonly hasBalance: () => boolean;
    /** Deducts bytes, also beyond the balance. */
    readonly spend: (bytes: number) => void;
}

/** Creates a budget that refills at `rate()` bytes a second, up to the bytes of one second. */
export const createByteBudget = (rate: () => number): ByteBudget => {
    let balance = rate();
    let refilledAt = performance.now();
    const refill = (): void => {
        const now = performance.now();
        balance = Math.min(rate(), balance + (now - refilledAt) / 1_000 * rate());
        refilledAt = now;
    };
    return {
        hasBalance: () => {
            refill();
            return balance > 0;
        },
        spend: bytes => {
            refill();
            balance -= bytes;
        },
    };
};
