import type { NetworkCall } from "./protocol-network.js";

/** Whether the call is a write to the store. */
export const isWriteCall = (call: NetworkCall): boolean => call.path === "/api/rows-tx";
