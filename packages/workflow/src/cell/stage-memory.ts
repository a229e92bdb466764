import type { MemoryAllowance } from "../port/memory-allowance.js";

/** Memory that the schedules of a cell take for occurrences that are due or at work. */
export interface StageMemory {
    /** Creates the allowance of one workflow. */
    readonly createShare: () => MemoryAllowance;
}

/** Bytes that all schedules of a cell may take together; beyond it, each has one occurrence of a step at a time. */
const maxBytes = 8 * 1_024 * 1_024;
/** Milliseconds for which a workflow counts that was refused memory; those that still need it ask in each pass. */
const refusalTime = 1_000;

/**
 * Creates the memory, which is taken from `allowance`, that of the host; unbounded if undefined. Workflows that take any or
 * would have equal shares, so that one with many due occurrences leaves memory to others. Once `signal` aborts, all is
 * given back, and nothing is taken any more.
 */
export const createStageMemory = (allowance: MemoryAllowance | undefined, signal: AbortSignal): StageMemory => {
    let taken = 0;
    /** Number of workflows that have taken memory. */
    let holders = 0;
    /** Workflows that have taken none and were refused some, with the monotonic time in ms of the refusal. */
    const refusals = new Map<symbol, number>();
    let forgottenAt = performance.now();
    const forgetRefusals = (): void => {
        const now = performance.now();
        if (now - forgottenAt >= refusalTime) {
            forgottenAt = now;
            for (const [share, at] of refusals) {
                if (now - at >= refusalTime) {
                    refusals.delete(share);
                }
            }
        }
    };
    signal.addEventListener("abort", () => {
        allowance?.giveBack(taken);
        taken = 0;
    });
    return {
        createShare: () => {
            const share = Symbol("share");
            let own = 0;
            const change = (bytes: number): void => {
                holders -= own > 0 ? 1 : 0;
                own += bytes;
                taken += bytes;
                holders += own > 0 ? 1 : 0;
            };
            return {
                take: bytes => {
                    forgetRefusals();
                    refusals.delete(share);
                    const users = holders + refusals.size + (own > 0 ? 0 : 1);
                    const isWithin = taken + bytes <= maxBytes && own + bytes <= maxBytes / users;
                    const isTaken = !signal.aborted && isWithin && allowance?.take(bytes) !== false;
                    if (isTaken) {
                        change(bytes);
                    }
                    else if (own === 0) {
                        refusals.set(share, performance.now());
                    }
                    return isTaken;
                },
                hold: bytes => {
                    if (!signal.aborted) {
                        allowance?.hold(bytes);
                        change(bytes);
                    }
                },
                giveBack: bytes => {
                    if (!signal.aborted) {
                        allowance?.giveBack(bytes);
                        change(-bytes);
                    }
                },
            };
        },
    };
};
