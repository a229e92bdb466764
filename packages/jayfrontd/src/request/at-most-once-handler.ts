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

/** Serves a request that is not idempotent: under its key it runs at most once. */
export type AtMostOnceHandler = (passage: RoutedRequest) => Promise<CallerResponse>;

/** Options of {@link createAtMostOnceHandler}. */
export interface AtMostOnceHandlerOptions {
    readonly intents: RequestIntents;
    /** Bytes of an answer that are kept for repeats. */
    readonly recordedAnswerBytes: number;
    /** Serves the request once its intent stands. */
    readonly serve: (passage: RoutedRequest) => Promise<CallerResponse>;
}

const keyHeader = "idempotency-key";

/** Digest of method, path and body; of a body too long to be kept, method and path must do. */
const digestOf = async ({ method, path, body }: RoutedRequest): Promise<string> => {
    const hash = createHash("sha256").update(`${method} ${path}\n`);
    const whole = body.isReplayable ? await readBody(body.open() ?? Readable.from([]), Infinity) : undefined;
    return hash.update(whole ?? "").digest("hex");
};

/** Creates the server. */
export const createAtMostOnceHandler = (
    { intents, recordedAnswerBytes, serve }: AtMostOnceHandlerOptions,
): AtMostOnceHandler => {
    const answerEarlier = (earlier: RequestIntent): CallerResponse => {
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
    /** Keeps a short answer for repeats; a long one is passed on and not kept. */
    const recordAnswer = async (own: OwnIntent, response: CallerResponse): Promise<CallerResponse> => {
        const kept = await createReplayableBody(response.body, recordedAnswerBytes).catch(() => undefined);
        if (kept === undefined) {
            return problem("outcome-unknown");
        }
        const whole = kept.isReplayable ? await readBody(kept.open() ?? Readable.from([]), Infinity) : undefined;
        const answer: RecordedAnswer | undefined = whole === undefined ? undefined : {
            status: response.status,
            contentType: firstHeaderValue(response.headers, "content-type"),
            body: whole.toString("base64"),
        };
        await intents.complete(own, answer);
        return { ...response, body: kept.open() ?? Readable.from([]) };
    };
    return async passage => {
        const key = firstHeaderValue(passage.headers, keyHeader);
        if (key === undefined || !/^[\x21-\x7e]{1,128}$/.test(key)) {
            return problem("key-required");
        }
        const digest = await digestOf(passage);
        const begun = await intents.begin(passage.service, encodeURIComponent(key), digest);
        if (begun.isErr) {
            if ("earlier" in begun.error) {
                const { earlier } = begun.error;
                return earlier.digest === digest ? answerEarlier(earlier) : problem("key-reused");
            }
            // An intent with unknown outcome is not acted on, so that nothing runs; a repeat may find it.
            return problem("store-unavailable", begun.error.message);
        }
        const response = await serve(passage);
        const result = resultOf(response);
        if (result === "completed") {
            return recordAnswer(begun.value, response);
        }
        if (result === "not-run") {
            // Where the intent can't be taken back, a repeat is answered as unknown, never run twice.
            await intents.withdraw(begun.value);
        }
        return response;
    };
};
