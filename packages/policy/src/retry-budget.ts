/** Limits retries to a share of requests, so that retries can't amplify an overload. */
export interface RetryBudget {
    /** Credits the budget for the first attempt of a request. */
    readonly deposit: () => void;
    /** Takes one retry from the budget; false where less than one is left. */
    readonly withdraw: () => boolean;
}

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
    /** Retries credited for each first attempt. Default 0.1. */
    readonly share?: number;
    /** Largest balance in retries, which is also the initial one. Default 20. */
    readonly capacity?: number;
}

/** Creates a full budget. */
export const createRetryBudget = ({ share = 0.1, capacity = 20 }: RetryBudgetOptions = {}): RetryBudget => {
    let balance = capacity;
    return {
        deposit: () => {
            balance = Math.min(capacity, balance + share);
        },
        withdraw: () => {
            if (balance < 1) {
                return false;
            }
            balance -= 1;
            return true;
        },
    };
};
