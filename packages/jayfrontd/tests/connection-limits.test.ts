import { describe, expect, it } from "@jest/globals";

import { deriveConnectionLimits } from "../src/http/connection-limits.js";
import { settingsSchema } from "../src/settings.js";

/** Bytes that are counted for a request with the largest header, of empty fields, and the largest body, of empty steps. */
const largestRequest = 16 * 1_024 + 2 * 4_096 * 64 + 262_144 + 262_144 / 12 * 250;

describe("limits of the smallest and the largest machine", () => {
    // Guards against limits that a single ordinary client meets, and against ports that take each other's descriptors.
    it.each([[250, 4_100], [602, 8_192]])("admit the largest request: %i MB, %i", (memoryMb, fileDescriptors) => {
        const settings = settingsSchema.shape.connections.parse({ memoryMb, fileDescriptors });
        const { requestBytes, callers, peers, operators } = deriveConnectionLimits(settings);
        expect(requestBytes).toBeGreaterThan(2 * largestRequest);
        expect(Math.min(callers.connections, peers.connections)).toBeGreaterThan(500);
        expect(callers.connections + peers.connections + 2 * operators.connections)
            .toBeLessThan(fileDescriptors - 1_000);
    });
});
