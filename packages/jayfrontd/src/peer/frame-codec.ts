import { createHmac, timingSafeEqual } from "node:crypto";

import { Packr } from "msgpackr";

/** Content of one frame: a call or the reply to it. */
export interface Frame {
    /** Number of the call on its connection; the reply has the same. */
    readonly id: number;
    readonly kind: "call" | "reply";
    readonly body: unknown;
}

/**
 * Encodes and authenticates the frames of one connection. Each frame has a sequence number and a message authentication
 * code (MAC), so that the receiver detects forged, replayed and missing frames.
 */
export interface FrameCodec {
    /** Encodes a frame and adds the next sequence number and the MAC. */
    readonly seal: (frame: Frame) => Buffer;
    /** Verifies and decodes a frame; undefined if it is not authentic, out of sequence or malformed. */
    readonly open: (data: Buffer) => Frame | undefined;
}

const macBytes = 32;
const sequenceBytes = 6;
const packr = new Packr({ useRecords: false });

const isFrame = (value: unknown): value is Frame =>
    typeof value === "object"
    && value !== null
    && typeof (value as Frame).id === "number"
    && ((value as Frame).kind === "call" || (value as Frame).kind === "reply");

/** Hexadecimal MAC of a connection's hello under the key that all entry hosts share. */
export const computeHelloMac = (peerKey: string, serverNonce: string, clientNonce: string): string =>
    createHmac("sha256", peerKey).update(`hello ${serverNonce} ${clientNonce}`).digest("hex");

/**
 * Creates the codec of one side of a connection. The MAC covers the sender's role, so a side rejects its own frames
 * when they are sent back.
 */
export const createFrameCodec = (
    peerKey: string,
    serverNonce: string,
    clientNonce: string,
    role: "client" | "server",
): FrameCodec => {
    const sessionKey = createHmac("sha256", peerKey).update(`session ${serverNonce} ${clientNonce}`).digest();
    const peerRole = role === "client" ? "server" : "client";
    let nextToSend = 0;
    let nextToReceive = 0;
    const computeMac = (sender: string, data: Buffer): Buffer =>
        createHmac("sha256", sessionKey).update(sender).update(data).digest();
    return {
        seal: frame => {
            const sequence = Buffer.alloc(sequenceBytes);
            sequence.writeUIntBE(nextToSend, 0, sequenceBytes);
            nextToSend += 1;
            const data = Buffer.concat([sequence, packr.pack(frame)]);
            return Buffer.concat([computeMac(role, data), data]);
        },
        open: sealed => {
            if (sealed.length <= macBytes + sequenceBytes) {
                return undefined;
            }
            const data = sealed.subarray(macBytes);
            if (!timingSafeEqual(sealed.subarray(0, macBytes), computeMac(peerRole, data))) {
                return undefined;
            }
            if (data.readUIntBE(0, sequenceBytes) !== nextToReceive) {
                return undefined;
            }
            nextToReceive += 1;
            try {
                const value: unknown = packr.unpack(data.subarray(sequenceBytes));
                return isFrame(value) ? value : undefined;
            }
            catch {
                return undefined;
            }
        },
    };
};
