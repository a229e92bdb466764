import { createHash } from "node:crypto";
import { Readable } from "node:stream";

import type { CallerResponse } from "../http/exchange.js";
import { problem } from "../http/problem.js";
import { resultHeader } from "../http/request-result.js";
import { readBody } from "../util/read-body.js";
import { createReplayableBody } from "../util/replayable-body.js";
import type { OwnIntent, RecordedAnswer, RequestIntent, RequestIntents } from "./request-intents.js";
import type { RoutedRequest } from "./routed-request.js";
import { firstHeaderValue, resultOf } from "./routed-request.js";

/** Serves a request to a service that is not idempotent; requests with the same key run at most once. */
export type AtMostOnceHandler = (routed: RoutedRequest) => Promise<CallerResponse>;

/** Options of {@link createAtMostOnceHandler}. */
export interface AtMostOnceHandlerOptions {
    readonly intents: RequestIntents;
    /** Maximum length in bytes of a response body that is stored for repeats of the request. */
    readonly recordedAnswerBytes: number;
    /** Serves the request; called after its intent has been stored. */
    readonly serve: (routed: RoutedRequest) => Promise<CallerResponse>;
}

const keyHeader = "idempotency-key";

/** Digest of method, path and body; of method and path only if the body is too long to be buffered. */
const digestOf = async ({ method, path, body }: RoutedRequest): Promise<string> => {
    const hash = createHash("sha256").update(`${method} ${path}\n`);
    const bytes = body.isReplayable ? await readBody(body.open() ?? Readable.from([]), Infinity) : undefined;
    return hash.update(bytes ?? "").digest("hex");
};

/** Creates a handler that stores an intent before it serves a request. */
export const createAtMostOnceHandler = (
    { intents, recordedAnswerBytes, serve }: AtMostOnceHandlerOptions,
): AtMostOnceHandler => {
    const repeatResponse = (earlier: RequestIntent): CallerResponse => {
        if (earlier.state === "dispatched") {
            return problem("key-in-progress");
        }
        if (earlier.answer === undefined) {
            return problem("key-without-answer");
        }
        const { status, contentType, body } = earlier.answer;
        return {
            status,
            headers: {
                [resultHeader]: "completed",
                "x-jayfront-repeated": "true",
                ...(contentType === undefined ? {} : { "content-type": contentType }),
            },
            body: Readable.from([Buffer.from(body, "base64")]),
        };
    };
    /** Stores a short response for repeats of the request; a longer one is passed on without being stored. */
    const storeAnswer = async (ownIntent: OwnIntent, response: CallerResponse): Promise<CallerResponse> => {
        const replayable = await createReplayableBody(response.body, recordedAnswerBytes).catch(() => undefined);
        if (replayable === undefined) {
            return problem("outcome-unknown");
        }
        const bytes = replayable.isReplayable
            ? await readBody(replayable.open() ?? Readable.from([]), Infinity)
            : undefined;
        const answer: RecordedAnswer | undefined = bytes === undefined ? undefined : {
            status: response.status,
            contentType: firstHeaderValue(response.headers, "content-type"),
            body: bytes.toString("base64"),
        };
        await intents.complete(ownIntent, answer);
        return { ...response, body: replayable.open() ?? Readable.from([]) };
    };
    return async routed => {
        const key = firstHeaderValue(routed.headers, keyHeader);
        if (key === undefined || !/^[\x21-\x7e]{1,128}$/.test(key)) {
            return problem("key-required");
        }
        const digest = await digestOf(routed);
        const begun = await intents.begin(routed.service, encodeURIComponent(key), digest);
        if (begun.isErr) {
            if ("earlier" in begun.error) {
                const { earlier } = begun.error;
                return earlier.digest === digest ? repeatResponse(earlier) : problem("key-reused");
            }
            // The request is not run, also if the intent may have been stored; a repeat may then find the intent.
            return problem("store-unavailable", begun.error.message);
        }
        const response = await serve(routed);
        const result = resultOf(response);
        if (result === "completed") {
            return storeAnswer(begun.value, response);
        }
        if (result === "not-run") {
            // If the intent can't be withdrawn, a repeat gets an unknown result, and the request never runs twice.
            await intents.withdraw(begun.value);
        }
        return response;
    };
};
