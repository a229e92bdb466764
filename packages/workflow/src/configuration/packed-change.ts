import { deflateRawSync, inflateRawSync } from "node:zlib";

import type { ConfigurationChange } from "./configuration-change.js";

/** A configuration change as it is sent between hosts: JSON, compressed by raw deflate. */
export type PackedChange = Uint8Array;

/** Fastest level of deflate; higher ones save little, since most of a change is names that differ. */
const deflateLevel = 1;

/** Packs and unpacks configuration changes. */
export const packedChange = {
    /** Compresses a change. */
    pack: (change: ConfigurationChange): PackedChange =>
        deflateRawSync(JSON.stringify(change), { level: deflateLevel }),
    /** Decompresses a change without validation: its sender has been authenticated and runs the same release. */
    unpack: (packed: PackedChange): ConfigurationChange =>
        JSON.parse(inflateRawSync(packed).toString()) as ConfigurationChange,
};
