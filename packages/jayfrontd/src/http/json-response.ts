import { Readable } from "node:stream";

import type { CallerResponse } from "./exchange.js";
import { resultHeader } from "./request-result.js";

/** Creates a response with `value` as its JSON body; its result header says that the request was completed. */
export const jsonResponse = (status: number, value: unknown): CallerResponse => ({
    status,
    headers: { "content-type": "application/json", [resultHeader]: "completed" },
    body: Readable.from([Buffer.from(JSON.stringify(value))]),
});
