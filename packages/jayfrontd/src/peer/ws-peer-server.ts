import { randomBytes } from "node:crypto";
import type { Server } from "node:http";

import type { Logger } from "pino";
import type { WebSocket } from "ws";
import { WebSocketServer } from "ws";

import { areSecretsEqual } from "../util/are-secrets-equal.js";
import type { FrameCodec } from "./frame-codec.js";
import { computeHelloMac, createFrameCodec } from "./frame-codec.js";

/** Options of {@link attachPeerServer}. */
export interface PeerServerOptions<Message> {
    readonly server: Server;
    readonly peerKey: string;
    /** Reads a frame's body; undefined where it is no message of this release. */
    readonly parse: (body: unknown) => Message | undefined;
    /** Answers a message; `onClose` calls back once when the connection that it came on has closed. */
    readonly handle: (message: Message, onClose: (callback: () => void) => void) => Promise<unknown>;
    readonly logger: Logger;
}

const largestFrame = 1_024 * 1_024;
const helloTimeout = 2_000;

/** First message of a client, in JSON. */
interface Hello {
    readonly nonce: string;
    readonly code: string;
}

const readHello = (data: string): Hello | undefined => {
    try {
        const value = JSON.parse(data) as Partial<Hello>;
        return typeof value.nonce === "string" && typeof value.code === "string"
            ? { nonce: value.nonce, code: value.code }
            : undefined;
    }
    catch {
        return undefined;
    }
};

/** Serves peers' control messages on the WebSocket door of `server`. */
export const attachPeerServer = <Message>(
    { server, peerKey, parse, handle, logger }: PeerServerOptions<Message>,
): WebSocketServer => {
    const sockets = new WebSocketServer({ server, path: "/peer", maxPayload: largestFrame });
    const refuse = (socket: WebSocket, reason: string): void => {
        logger.warn({ reason }, "a peer connection was closed");
        socket.terminate();
    };
    const answer = async (socket: WebSocket, codec: FrameCodec, data: Buffer): Promise<void> => {
        const frame = codec.open(data);
        if (frame?.kind !== "call") {
            refuse(socket, "a frame is not authentic, repeated or malformed");
            return;
        }
        const message = parse(frame.body);
        if (message === undefined) {
            refuse(socket, "a message is not known; run the same release on all entry hosts");
            return;
        }
        const body = await handle(message, callback => {
            socket.once("close", callback);
        });
        if (socket.readyState === socket.OPEN) {
            socket.send(codec.seal({ id: frame.id, kind: "reply", body }));
        }
    };
    /** One task for each connection: hello first, then calls until it closes. */
    const serveConnection = (socket: WebSocket): void => {
        const nonce = randomBytes(16).toString("hex");
        let codec: FrameCodec | undefined;
        const timer = setTimeout(() => {
            refuse(socket, "no hello came in time");
        }, helloTimeout);
        socket.on("error", () => {
            socket.terminate();
        });
        socket.on("close", () => {
            clearTimeout(timer);
        });
        socket.on("message", (data: Buffer) => {
            if (codec !== undefined) {
                answer(socket, codec, data).catch((error: unknown) => {
                    refuse(socket, `a message could not be handled: ${String(error)}; report this as a fault`);
                });
                return;
            }
            const hello = readHello(data.toString());
            if (hello === undefined || !areSecretsEqual(hello.code, computeHelloMac(peerKey, nonce, hello.nonce))) {
                refuse(socket, "the hello is not authentic; check that peerKey is the same on all entry hosts");
                return;
            }
            clearTimeout(timer);
            codec = createFrameCodec(peerKey, nonce, hello.nonce, "server");
        });
        socket.send(nonce);
    };
    sockets.on("connection", serveConnection);
    return sockets;
};
