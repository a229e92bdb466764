import { randomBytes } from "node:crypto";

import { createStopSignal, sleep, startAnswerTimeout } from "@jayfront/world";
import { Result } from "true-myth";
import { WebSocket } from "ws";

import type { TlsMaterial } from "../http/tls-material.js";
import type { FrameCodec } from "./frame-codec.js";
import { computeHelloMac, createFrameCodec } from "./frame-codec.js";
import type { PeerError } from "./peer-network.js";

/** Limits after which a call that has not been sent yet, for lack of a connection, never is. */
export interface SendLimits {
    /** Milliseconds from the call. */
    readonly sendWithin: number;
    /** Milliseconds from the start of opening the connection, so that later calls do not wait for it as long again. */
    readonly openWithin: number;
}

/** A WebSocket connection to one peer for calls and their replies. */
export interface PeerConnection {
    /**
     * Sends a message and resolves with the body of its reply. Without `limits`, it is sent whenever the connection has
     * been opened.
     */
    readonly call: (message: unknown, limits?: SendLimits) => Promise<Result<unknown, PeerError>>;
    readonly isClosed: () => boolean;
    readonly close: () => void;
}

/** Options of {@link createPeerConnection}. */
export interface PeerConnectionOptions {
    /** `IP:port` of the peer. */
    readonly address: string;
    /** Key that all entry hosts share. */
    readonly peerKey: string;
    /** Undefined for plain TCP. */
    readonly tls: TlsMaterial | undefined;
    /**
     * Milliseconds to wait for a reply before a call's outcome counts as unknown. If nothing at all was received
     * meanwhile, or the connection was not established within this time, it may be dead and is closed.
     */
    readonly timeout: number;
    /** Called with the length of each sent frame in bytes. */
    readonly onSent: (bytes: number) => void;
}

const peerErrors = {
    notConnected: (address: string): PeerError => ({
        kind: "not-sent",
        message: `no connection to ${address}; nothing was sent, check that the host is running`,
    }),
    noReply: (address: string): PeerError => ({
        kind: "unknown",
        message:
            `no reply from ${address} before the time-out or the end of the connection; the call may have taken effect`,
    }),
};

/** Opens a connection; calls wait until it is established. */
export const createPeerConnection = (options: PeerConnectionOptions): PeerConnection => {
    const { address, peerKey, tls, timeout, onSent } = options;
    const socket = new WebSocket(`${tls === undefined ? "ws" : "wss"}://${address}/peer`, { ...tls });
    const pendingCalls = new Map<number, (result: Result<unknown, PeerError>) => void>();
    const openedAt = performance.now();
    let nextId = 0;
    let isClosed = false;
    let receivedFrames = 0;
    let openCodec: FrameCodec | undefined;

    const stopHandshakeTimeout = startAnswerTimeout(timeout, () => {
        socket.terminate();
    });
    const established = new Promise<FrameCodec | undefined>(resolve => {
        socket.once("message", (data: Buffer) => {
            stopHandshakeTimeout();
            const serverNonce = data.toString();
            const nonce = randomBytes(16).toString("hex");
            socket.send(JSON.stringify({ nonce, code: computeHelloMac(peerKey, serverNonce, nonce) }));
            const codec = createFrameCodec(peerKey, serverNonce, nonce, "client");
            socket.on("message", (reply: Buffer) => {
                handleReply(codec, reply);
            });
            openCodec = codec;
            resolve(codec);
        });
        socket.on("close", () => {
            stopHandshakeTimeout();
            isClosed = true;
            resolve(undefined);
            for (const settle of [...pendingCalls.values()]) {
                settle(Result.err(peerErrors.noReply(address)));
            }
        });
        socket.on("error", () => {
            socket.terminate();
        });
    });
    const handleReply = (codec: FrameCodec, data: Buffer): void => {
        const frame = codec.open(data);
        if (frame?.kind !== "reply") {
            socket.terminate();
            return;
        }
        receivedFrames += 1;
        pendingCalls.get(frame.id)?.(Result.ok(frame.body));
    };
    const send = (codec: FrameCodec, message: unknown): Promise<Result<unknown, PeerError>> =>
        new Promise(resolve => {
            const id = nextId;
            nextId += 1;
            const settle = (result: Result<unknown, PeerError>): void => {
                stopTimeout();
                pendingCalls.delete(id);
                resolve(result);
            };
            const receivedBefore = receivedFrames;
            const stopTimeout = startAnswerTimeout(timeout, () => {
                settle(Result.err(peerErrors.noReply(address)));
                if (receivedFrames === receivedBefore) {
                    // The connection may be dead. The next call opens a new one, which fails if the peer is down.
                    socket.terminate();
                }
            });
            pendingCalls.set(id, settle);
            const sealed = codec.seal({ id, kind: "call", body: message });
            onSent(sealed.length);
            socket.send(sealed);
        });
    /** Resolves to undefined if the connection fails or is not open within the limits. */
    const waitUntilOpen = async ({ sendWithin, openWithin }: SendLimits): Promise<FrameCodec | undefined> => {
        const limit = Math.min(sendWithin, openWithin - (performance.now() - openedAt));
        const givenUp = createStopSignal();
        const codec = openCodec ?? (limit <= 0
            ? undefined
            : await Promise.race([established, sleep(limit, givenUp.signal).then(() => undefined)]));
        givenUp.abort();
        return codec;
    };
    return {
        call: async (message, limits) => {
            const codec = limits === undefined ? await established : await waitUntilOpen(limits);
            return codec === undefined || socket.readyState !== socket.OPEN
                ? Result.err(peerErrors.notConnected(address))
                : send(codec, message);
        },
        isClosed: () => isClosed,
        close: () => {
            socket.terminate();
        },
    };
};
