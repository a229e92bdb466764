/** Weights of a crash under a run: other runs may have crashed the worker, or no other run may have. */
export const crashWeights = { shared: 1, only: 2 } as const;
