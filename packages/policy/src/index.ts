export type * from "./batch-work.js";
export * from "./cell-scheduler.js";
export * from "./request-queue.js";
export * from "./retry-budget.js";
export * from "./run-time-estimate.js";
export * from "./team-shares.js";
export * from "./worker-account.js";
export * from "./worker-health.js";
export * from "./worker-index.js";
