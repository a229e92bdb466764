import { createHmac, timingSafeEqual } from "node:crypto";

import { Packr } from "msgpackr";

/** What travels in one frame: a call or its reply. */
export interface Frame {
    readonly id: number;
    readonly kind: "call" | "reply";
    readonly body: unknown;
}

/** Seals and opens the frames of one connection, so that none can be forged, repeated or left out unnoticed. */
export interface FrameCodec {
    readonly seal: (frame: Frame) => Buffer;
    /** Opens a frame; undefined where it is not authentic, out of sequence or malformed. */
    readonly open: (data: Buffer) => Frame | undefined;
}

const macLength = 32;
const sequenceLength = 6;
const packr = new Packr({ useRecords: false });

const isFrame = (value: unknown): value is Frame =>
    typeof value === "object"
    && value !== null
    && typeof (value as Frame).id === "number"
    && ((value as Frame).kind === "call" || (value as Frame).kind === "reply");

/** Authentication code of a connection's hello, by the key that all entry hosts share. */
export const computeHelloMac = (peerKey: string, serverNonce: string, clientNonce: string): string =>
    createHmac("sha256", peerKey).update(`hello ${serverNonce} ${clientNonce}`).digest("hex");

/** Creates the codec of one side of a connection; each side seals under its own role. */
export const createFrameCodec = (
    peerKey: string,
    serverNonce: string,
    clientNonce: string,
    role: "client" | "server",
): FrameCodec => {
    const sessionKey = createHmac("sha256", peerKey).update(`session ${serverNonce} ${clientNonce}`).digest();
    const other = role === "client" ? "server" : "client";
    let sent = 0;
    let received = 0;
    const code = (sender: string, data: Buffer): Buffer =>
        createHmac("sha256", sessionKey).update(sender).update(data).digest();
    return {
        seal: frame => {
            const sequence = Buffer.alloc(sequenceLength);
            sequence.writeUIntBE(sent, 0, sequenceLength);
            sent += 1;
            const data = Buffer.concat([sequence, packr.pack(frame)]);
            return Buffer.concat([code(role, data), data]);
        },
        open: sealed => {
            if (sealed.length <= macLength + sequenceLength) {
                return undefined;
            }
            const data = sealed.subarray(macLength);
            if (!timingSafeEqual(sealed.subarray(0, macLength), code(other, data))) {
                return undefined;
            }
            if (data.readUIntBE(0, sequenceLength) !== received) {
                return undefined;
            }
            received += 1;
            try {
                const value: unknown = packr.unpack(data.subarray(sequenceLength));
                return isFrame(value) ? value : undefined;
            }
            catch {
                return undefined;
            }
        },
    };
};
