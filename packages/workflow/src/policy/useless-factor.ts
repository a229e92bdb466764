/** Multiple of its objective after which a workflow's result is useless, as the users define it. */
export const uselessFactor = 3;
