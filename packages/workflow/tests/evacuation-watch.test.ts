import type { FailureDomainId } from "@jayfront/world";
import { createStopSignal } from "@jayfront/world";
import { describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import { createEvacuationWatch } from "../src/evacuation/evacuation-watch.js";
import { longestKnowledgeAge, mayStartIn, newerEvacuations } from "../src/policy/domain-starts.js";

const bound = 5_000;
const domain = "east-a" as FailureDomainId;
const other = "east-b" as FailureDomainId;
const requestOf = (version: number): { failureDomain: FailureDomainId; version: number; } => ({
    failureDomain: domain,
    version,
});

describe("the decision whether a start may be sent to a failure domain", () => {
    const known = { requests: [requestOf(7)], version: 9, readAt: 1_000 };
    const oldest = 1_000 + longestKnowledgeAge(bound);

    // Guards against starts by what a host has known too long ago, or does not know at all.
    it.each([
        ["a domain that is to be evacuated", domain, known, 1_000, false],
        ["another domain", other, known, 1_000, true],
        ["another domain just before the knowledge is too old", other, known, oldest - 1, true],
        ["another domain once the knowledge is too old", other, known, oldest, false],
        ["a domain before the first answer", other, undefined, 1_000, false],
    ])("judges %s", (...[, failureDomain, knowledge, now, expected]) => {
        expect(mayStartIn(failureDomain, knowledge, bound, now)).toBe(expected);
    });

    // Guards against a late order: one sent at the last moment has to arrive within the bound.
    it("leaves an order a second for its way", () => {
        expect(longestKnowledgeAge(bound)).toBeLessThanOrEqual(bound - 1_000);
    });

    // Guards against a host that goes back to an older state, or counts an old answer as a new one.
    it.each([
        ["newer", { requests: [], version: 10, readAt: 900 }, { requests: [], version: 10, readAt: 900 }],
        ["older", { requests: [], version: 8, readAt: 1_100 }, known],
        ["the same", { requests: [requestOf(7)], version: 9, readAt: 1_100 }, { ...known, readAt: 1_100 }],
    ])("applies an answer that is %s", (...[, answer, expected]) => {
        expect(newerEvacuations(known, answer)).toEqual(expected);
    });
});

describe("the watch of evacuation requests", () => {
    // Guards against reads by hosts that hold no cell, and against a new holder that starts before it has read.
    it("reads only while it is needed, and at once when that begins", async () => {
        jest.useFakeTimers();
        const stop = createStopSignal();
        let isNeeded = false;
        let reads = 0;
        const watch = createEvacuationWatch({
            source: {
                read: () => {
                    reads += 1;
                    return Promise.resolve(Result.ok({ requests: [requestOf(3)], version: 4 }));
                },
            },
            bound,
            isNeeded: () => isNeeded,
            onReopened: () => undefined,
            logger: pino({ level: "silent" }),
        });
        void watch.run(stop.signal);
        await jest.advanceTimersByTimeAsync(3_500);
        expect([reads, watch.mayStartIn(other)]).toEqual([0, false]);
        isNeeded = true;
        watch.readNow();
        await jest.advanceTimersByTimeAsync(0);
        expect([reads, watch.mayStartIn(other), watch.mayStartIn(domain), watch.versionOf(domain)])
            .toEqual([1, true, false, 3]);
        stop.abort();
        jest.useRealTimers();
    });

    // Guards against a wave of starts on workers that may be cold, since nobody learns that their domain is open again.
    it("reports once that a request has been removed", async () => {
        jest.useFakeTimers();
        const stop = createStopSignal();
        let requests = [requestOf(3)];
        const reopened: FailureDomainId[] = [];
        const watch = createEvacuationWatch({
            source: { read: () => Promise.resolve(Result.ok({ requests, version: 5 - requests.length })) },
            bound,
            isNeeded: () => true,
            onReopened: found => {
                reopened.push(found);
            },
            logger: pino({ level: "silent" }),
        });
        void watch.run(stop.signal);
        await jest.advanceTimersByTimeAsync(1_500);
        expect(reopened).toEqual([]);
        requests = [];
        await jest.advanceTimersByTimeAsync(3_500);
        expect(reopened).toEqual([domain]);
        stop.abort();
        jest.useRealTimers();
    });

    // Guards against a read that fails with an exception and ends all further ones, so that nothing ever starts again.
    it("goes on reading after an exception", async () => {
        jest.useFakeTimers();
        const stop = createStopSignal();
        const answers = [
            () => Promise.reject(new Error("not valid")),
            () => Promise.resolve(Result.ok({ requests: [], version: 4 })),
        ];
        const watch = createEvacuationWatch({
            source: { read: () => answers.shift()?.() ?? new Promise(() => undefined) },
            bound,
            isNeeded: () => true,
            onReopened: () => undefined,
            logger: pino({ level: "silent" }),
        });
        const running = watch.run(stop.signal).catch((error: unknown) => error);
        await jest.advanceTimersByTimeAsync(1_000);
        expect(watch.mayStartIn(domain)).toBe(true);
        stop.abort();
        await jest.advanceTimersByTimeAsync(1_000);
        jest.useRealTimers();
        expect(await running).toBeUndefined();
    });
});
