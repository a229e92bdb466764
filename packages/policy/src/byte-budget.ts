/** Bounds bytes a second; what is spent beyond it has to be waited off. */
export interface ByteBudget {
    readonly hasBalance: () => boolean;
    readonly spend: (bytes: number) => void;
}

/** Creates a budget of `rate()` bytes a second, of which one second's worth can be saved up. */
export const createByteBudget = (rate: () => number): ByteBudget => {
    let balance = rate();
    let at = performance.now();
    const refill = (): void => {
        const now = performance.now();
        balance = Math.min(rate(), balance + (now - at) / 1_000 * rate());
        at = now;
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
