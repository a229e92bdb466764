import type { NetworkCall } from "./protocol-network.js";

/** Whether the call is a poll that extends the lease of a worker. */
export const isDeadlineCall = (call: NetworkCall): boolean =>
    call.path === "/api/hold" && (call.body as { readonly deadlineMs?: number; }).deadlineMs !== undefined;
