import { deflateRawSync, inflateRawSync } from "node:zlib";

import type { ConfigurationChange } from "./configuration-change.js";

/** A change as it travels between hosts: its JSON, deflated. */
export type PackedChange = Uint8Array;

/** Deflate's quickest level; names differ, so that the others gain little. */
const deflateLevel = 1;

/** Packs and unpacks changes of the configuration. */
export const packedChange = {
    /** Makes a change small for links. */
    pack: (change: ConfigurationChange): PackedChange =>
        deflateRawSync(JSON.stringify(change), { level: deflateLevel }),
    /** Reads a packed change; its sender has been authenticated and runs the same release. */
    unpack: (packed: PackedChange): ConfigurationChange =>
        JSON.parse(inflateRawSync(packed).toString()) as ConfigurationChange,
};
