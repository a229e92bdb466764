import { randomBytes } from "node:crypto";
import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";

import { startAnswerTimeout } from "@jayfront/world";
import type { Logger } from "pino";
import type { WebSocket } from "ws";
import { WebSocketServer } from "ws";

import { areSecretsEqual } from "../util/are-secrets-equal.js";
import type { FrameCodec } from "./frame-codec.js";
import { computeHelloMac, createFrameCodec } from "./frame-codec.js";

/** Options of {@link attachPeerServer}. */
export interface PeerServerOptions<Message> {
    readonly server: Server;
    /** Key that all entry hosts share. */
    readonly peerKey: string;
    /** Parses a frame's body; undefined if it is not a message that this release knows. */
    readonly parse: (body: unknown) => Message | undefined;
    /** Resolves with the reply to a message; `onClose` registers a callback for the end of the message's connection. */
    readonly handle: (message: Message, onClose: (callback: () => void) => void) => Promise<unknown>;
    readonly logger: Logger;
    /** Called with the connection of a peer once it is authenticated. */
    readonly onAuthenticated?: (connection: Duplex) => void;
    /** Called when a connection is closed because its client has not authenticated itself. Default: logs a warning. */
    readonly onStranger?: () => void;
}

const maxFrameBytes = 1_024 * 1_024;
/** Bytes that a client may send until it is authenticated; a hello takes 200. */
const maxHelloBytes = 4_096;
const helloTimeoutMs = 2_000;

/** First message of a client, as JSON. */
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

/** Accepts peer connections on the WebSocket path `/peer` of `server` and answers their control messages. */
export const attachPeerServer = <Message>(
    { server, peerKey, parse, handle, logger, onAuthenticated, onStranger }: PeerServerOptions<Message>,
): WebSocketServer => {
    const sockets = new WebSocketServer({ server, path: "/peer", maxPayload: maxFrameBytes });
    const disconnect = (socket: WebSocket, reason: string): void => {
        logger.warn({ reason }, "peer connection closed");
        socket.terminate();
    };
    const rejectStranger = (socket: WebSocket, reason: string): void => {
        if (onStranger === undefined) {
            disconnect(socket, reason);
            return;
        }
        onStranger();
        socket.terminate();
    };
    const handleFrame = async (socket: WebSocket, codec: FrameCodec, data: Buffer): Promise<void> => {
        const frame = codec.open(data);
        if (frame?.kind !== "call") {
            disconnect(socket, "a frame is forged, replayed, out of sequence or malformed");
            return;
        }
        const message = parse(frame.body);
        if (message === undefined) {
            disconnect(
                socket,
                "the kind or shape of a message is unknown; run the same release on all entry hosts",
            );
            return;
        }
        const body = await handle(message, callback => {
            socket.once("close", callback);
        });
        if (socket.readyState === socket.OPEN) {
            socket.send(codec.seal({ id: frame.id, kind: "reply", body }));
        }
    };
    /** Expects a hello first, then calls until the connection closes. */
    const serveConnection = (socket: WebSocket, { socket: connection }: IncomingMessage): void => {
        const nonce = randomBytes(16).toString("hex");
        let codec: FrameCodec | undefined;
        const stopTimeout = startAnswerTimeout(helloTimeoutMs, () => {
            rejectStranger(socket, "no hello was received in time");
        });
        let received = 0;
        const countReceived = (part: Buffer): void => {
            received += part.length;
            // The part that ends the hello may go on with calls.
            if (codec === undefined && received > maxHelloBytes) {
                rejectStranger(socket, "a client sent more than a hello before it was authenticated");
            }
        };
        connection.on("data", countReceived);
        socket.on("error", () => {
            socket.terminate();
        });
        socket.on("close", () => {
            stopTimeout();
        });
        socket.on("message", (data: Buffer) => {
            if (codec !== undefined) {
                handleFrame(socket, codec, data).catch((error: unknown) => {
                    disconnect(
                        socket,
                        `an error occurred while handling a message: ${String(error)}; report it as a bug`,
                    );
                });
                return;
            }
            const hello = readHello(data.toString());
            if (hello === undefined || !areSecretsEqual(hello.code, computeHelloMac(peerKey, nonce, hello.nonce))) {
                rejectStranger(
                    socket,
                    "the hello is not authentic; check that peerKey is the same on all entry hosts",
                );
                return;
            }
            stopTimeout();
            connection.off("data", countReceived);
            onAuthenticated?.(connection);
            codec = createFrameCodec(peerKey, nonce, hello.nonce, "server");
        });
        socket.send(nonce);
    };
    sockets.on("connection", serveConnection);
    return sockets;
};
