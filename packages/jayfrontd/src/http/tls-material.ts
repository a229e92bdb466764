import { readFile } from "node:fs/promises";

import type { Settings } from "../settings.js";

/** Contents of the PEM files that the settings name. */
export interface TlsMaterial {
    readonly cert: Buffer;
    readonly key: Buffer;
    readonly ca: Buffer;
}

/** Reads the certificate files; undefined if the settings name none. Rejects if a file can't be read. */
export const readTlsMaterial = async (settings: Settings): Promise<TlsMaterial | undefined> => {
    const files = settings.security.tls;
    if (files === undefined) {
        return undefined;
    }
    const [cert, key, ca] = await Promise.all([
        readFile(files.certificateFile),
        readFile(files.keyFile),
        readFile(files.authorityFile),
    ]);
    return { cert, key, ca };
};
