import { describe, expect, it } from "@jest/globals";

import type { FrameCodec } from "../src/peer/frame-codec.js";
import { createFrameCodec } from "../src/peer/frame-codec.js";

const key = "a-peer-key-of-at-least-32-characters";
const createPair = (clientKey = key): { client: FrameCodec; server: FrameCodec; } => ({
    client: createFrameCodec(clientKey, "server-nonce", "client-nonce", "client"),
    server: createFrameCodec(key, "server-nonce", "client-nonce", "server"),
});
const call = { id: 1, kind: "call" as const, body: { kind: "environment-wanted" } };

describe("frame codec", () => {
    it("opens frames that the other side sealed", () => {
        const { client, server } = createPair();
        expect(server.open(client.seal(call))).toEqual(call);
        expect(client.open(server.seal({ ...call, kind: "reply" }))).toEqual({ ...call, kind: "reply" });
    });

    it("rejects a replayed frame, a frame after a missing one, and a frame sent back to its sender", () => {
        const { client, server } = createPair();
        const first = client.seal(call);
        expect(server.open(first)).toEqual(call);
        expect(server.open(first)).toBeUndefined();
        client.seal(call);
        expect(server.open(client.seal(call))).toBeUndefined();
        expect(client.open(first)).toBeUndefined();
    });

    it("rejects frames that are sealed under another key, altered or truncated", () => {
        const { client, server } = createPair("another-peer-key-of-32-characters-");
        expect(server.open(client.seal(call))).toBeUndefined();
        const untampered = createPair();
        const sealed = untampered.client.seal(call);
        sealed[sealed.length - 1] = (sealed[sealed.length - 1] ?? 0) ^ 1;
        expect(untampered.server.open(sealed)).toBeUndefined();
        expect(untampered.server.open(sealed.subarray(0, 20))).toBeUndefined();
        expect(untampered.server.open(Buffer.alloc(0))).toBeUndefined();
    });
});
