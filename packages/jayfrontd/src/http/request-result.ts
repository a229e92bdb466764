/** Whether a request was executed; `unknown` if that can't be determined. */
export type RequestResult = "completed" | "not-run" | "unknown";

/** Response header with the {@link RequestResult} of the request that is answered. */
export const resultHeader = "x-jayfront-result";
