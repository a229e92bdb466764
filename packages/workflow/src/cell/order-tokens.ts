import type { Result } from "true-myth";

import type { OrderError } from "../port/worker-gateway.js";

/**
 * Fencing tokens of the orders to one worker. A worker refuses orders with a lower token than the highest that it has
 * seen. Therefore, once an order with a raised token has reached it, earlier orders that are still on their way have
 * no effect there, even if the worker has restarted unnoticed in between.
 */
export interface OrderTokens {
    /** The token of the next order. */
    readonly current: () => number;
    /** Raises the token of all further orders. */
    readonly raise: () => void;
    /** Raises the token after an order that was not answered and may be carried out late, unless it was raised since. */
    readonly supersede: (sentToken: number) => void;
    /**
     * Raises the token after the worker has refused it although the cell has no later holder, unless it was raised since:
     * by one, and by twice as many each further time in a row. Returns false if there is no higher token.
     */
    readonly outrun: (sentToken: number) => boolean;
    /** Records that the worker has carried out an order. */
    readonly recordAccepted: () => void;
    /** Sends an order; repeats it if the worker refused it only because the token was raised meanwhile. */
    readonly send: <Value>(
        order: (token: number) => Promise<Result<Value, OrderError>>,
    ) => Promise<Result<Value, OrderError>>;
}

/**
 * Tokens per epoch and worker; those of a later holder are all higher. When they are used up, the token stays as it is
 * until the next holder raises it.
 */
const tokensPerEpoch = 1_024;

/** Creates the tokens of the holder with the given epoch. */
export const createOrderTokens = (epoch: number): OrderTokens => {
    let raises = 0;
    /** Number of tokens by which the next refusal raises. */
    let outrunStep = 1;
    const current = (): number => epoch * tokensPerEpoch + raises;
    const raiseBy = (count: number): void => {
        raises = Math.min(raises + count, tokensPerEpoch - 1);
    };
    const raise = (): void => {
        raiseBy(1);
    };
    return {
        current,
        raise,
        supersede: sentToken => {
            if (sentToken === current()) {
                raise();
            }
        },
        outrun: sentToken => {
            if (sentToken < current()) {
                return true;
            }
            if (raises === tokensPerEpoch - 1) {
                return false;
            }
            raiseBy(outrunStep);
            outrunStep *= 2;
            return true;
        },
        recordAccepted: () => {
            outrunStep = 1;
        },
        send: async order => {
            let token = current();
            let result = await order(token);
            while (result.isErr && result.error.kind === "fenced" && token < current()) {
                token = current();
                result = await order(token);
            }
            return result;
        },
    };
};
