import { randomBytes } from "node:crypto";

import { Result } from "true-myth";
import { WebSocket } from "ws";

import type { TlsMaterial } from "../http/tls-material.js";
import type { FrameCodec } from "./frame-codec.js";
import { computeHelloMac, createFrameCodec } from "./frame-codec.js";
import type { PeerError } from "./peer-network.js";

/** A connection to one peer that carries calls. */
export interface PeerConnection {
    readonly call: (message: unknown) => Promise<Result<unknown, PeerError>>;
    readonly isClosed: () => boolean;
    readonly close: () => void;
}

/** Options of {@link createPeerConnection}. */
export interface PeerConnectionOptions {
    /** `IP:port` of the peer. */
    readonly address: string;
    readonly peerKey: string;
    readonly tls: TlsMaterial | undefined;
    /** Milliseconds until a call's outcome counts as unknown. */
    readonly timeout: number;
    /** Called with the length of each frame that is sent. */
    readonly onSent: (bytes: number) => void;
}

const errors = {
    notConnected: (address: string): PeerError => ({
        kind: "not-sent",
        message: `${address} can't be reached; nothing was sent, check that the host runs`,
    }),
    noReply: (address: string): PeerError => ({
        kind: "unknown",
        message: `${address} gave no reply in time; it may have acted`,
    }),
};

/** Opens a connection; calls wait for it to stand. */
export const createPeerConnection = (options: PeerConnectionOptions): PeerConnection => {
    const { address, peerKey, tls, timeout, onSent } = options;
    const socket = new WebSocket(`${tls === undefined ? "ws" : "wss"}://${address}/peer`, {
        handshakeTimeout: timeout,
        ...tls,
    });
    const waiting = new Map<number, (result: Result<unknown, PeerError>) => void>();
    let nextId = 0;
    let isClosed = false;

    const ready = new Promise<FrameCodec | undefined>(resolve => {
        socket.once("message", (data: Buffer) => {
            const serverNonce = data.toString();
            const nonce = randomBytes(16).toString("hex");
            socket.send(JSON.stringify({ nonce, code: computeHelloMac(peerKey, serverNonce, nonce) }));
            const codec = createFrameCodec(peerKey, serverNonce, nonce, "client");
            socket.on("message", (reply: Buffer) => {
                takeReply(codec, reply);
            });
            resolve(codec);
        });
        socket.on("close", () => {
            isClosed = true;
            resolve(undefined);
            for (const finish of [...waiting.values()]) {
                finish(Result.err(errors.noReply(address)));
            }
        });
        socket.on("error", () => {
            socket.terminate();
        });
    });
    const takeReply = (codec: FrameCodec, data: Buffer): void => {
        const frame = codec.open(data);
        if (frame?.kind !== "reply") {
            socket.terminate();
            return;
        }
        waiting.get(frame.id)?.(Result.ok(frame.body));
    };
    const send = (codec: FrameCodec, message: unknown): Promise<Result<unknown, PeerError>> =>
        new Promise(resolve => {
            const id = nextId;
            nextId += 1;
            const finish = (result: Result<unknown, PeerError>): void => {
                clearTimeout(timer);
                waiting.delete(id);
                resolve(result);
            };
            const timer = setTimeout(() => {
                finish(Result.err(errors.noReply(address)));
                // A peer that is slow to answer may be gone; a new connection will tell.
                socket.terminate();
            }, timeout);
            waiting.set(id, finish);
            const sealed = codec.seal({ id, kind: "call", body: message });
            onSent(sealed.length);
            socket.send(sealed);
        });
    return {
        call: async message => {
            const codec = await ready;
            return codec === undefined || socket.readyState !== socket.OPEN
                ? Result.err(errors.notConnected(address))
                : send(codec, message);
        },
        isClosed: () => isClosed,
        close: () => {
            socket.terminate();
        },
    };
};
