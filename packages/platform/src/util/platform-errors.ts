import type { PlatformError } from "../platform-error.js";

/** Creates platform errors by kind; `call` names the failed call in the message. */
export const platformErrors = {
    conflict: (call: string): PlatformError => ({
        kind: "conflict",
        message: `${call}: a checked row has changed; read it again and decide anew`,
    }),
    refused: (call: string, code: string): PlatformError => ({
        kind: "refused",
        code,
        message: `${call}: the platform refused the call (${code}); nothing took effect`,
    }),
    unavailable: (call: string): PlatformError => ({
        kind: "unavailable",
        message: `${call}: the platform can't be reached; nothing took effect, try again later`,
    }),
    unknown: (call: string): PlatformError => ({
        kind: "unknown",
        message: `${call}: no reply in time; the call may have taken effect, settle it before going on`,
    }),
} as const;
