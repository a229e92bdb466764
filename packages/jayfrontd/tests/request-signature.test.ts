import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";

import { createRequestSignature } from "../src/peer/request-signature.js";

const key = "a-peer-key-of-at-least-32-characters";

describe("request signature", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    it("is accepted only once", () => {
        const receiver = createRequestSignature(key);
        const signed = createRequestSignature(key).sign("POST", "/internal/x");
        expect(receiver.verify(signed, "POST", "/internal/x")).toBe(true);
        expect(receiver.verify(signed, "POST", "/internal/x")).toBe(false);
    });

    it.each([
        ["another path", (value: string): [string, string, string] => [value, "POST", "/internal/y"]],
        ["another method", (value: string): [string, string, string] => [value, "GET", "/internal/x"]],
        ["an altered MAC", (value: string): [string, string, string] => [`${value}0`, "POST", "/internal/x"]],
        ["an empty value", (): [string, string, string] => ["", "POST", "/internal/x"]],
    ])("is rejected for %s", (...[, alter]) => {
        const signed = createRequestSignature(key).sign("POST", "/internal/x");
        expect(createRequestSignature(key).verify(...alter(signed))).toBe(false);
    });

    it("is rejected after the clock tolerance and under another key", () => {
        const receiver = createRequestSignature(key);
        const signed = createRequestSignature(key).sign("POST", "/x");
        jest.advanceTimersByTime(31_000);
        expect(receiver.verify(signed, "POST", "/x")).toBe(false);
        const foreign = createRequestSignature("another-peer-key-of-32-characters-").sign("POST", "/x");
        expect(receiver.verify(foreign, "POST", "/x")).toBe(false);
    });
});
