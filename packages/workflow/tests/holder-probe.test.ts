import type { CellId, HostId } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import pino from "pino";
import { Result } from "true-myth";

import type { ProbedCell } from "../src/entry/holder-probe.js";
import { createHolderProbe, neverHeard } from "../src/entry/holder-probe.js";
import type { EntryHostRecord } from "../src/peer/host-registry.js";
import type { WorkflowNetwork } from "../src/peer/workflow-network.js";

const cell = "all" as CellId;

/** Milliseconds since each peer last heard the holder; undefined if the peer does not answer. */
type Silences = readonly (number | undefined)[];

describe("holder probe", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });
    const createProbe = (silences: Silences, timeout = 1_200) => {
        const calls: string[] = [];
        const network = {
            call: (host: EntryHostRecord) => {
                calls.push(host.id);
                const silence = silences[Number(host.id)];
                return Promise.resolve(
                    silence === undefined
                        ? Result.err({ kind: "unknown", message: "no reply" })
                        : Result.ok(silence),
                );
            },
        } as unknown as WorkflowNetwork;
        const probe = createHolderProbe({ network, logger: pino({ level: "silent" }) });
        const records = silences.map((...[, index]) => ({ id: String(index) as HostId }) as EntryHostRecord);
        const probed: ProbedCell = { cell, epoch: 3, timeout, peers: records };
        return { probe, probed, calls };
    };

    it.each<[string, Silences, boolean]>([
        ["there is no other host", [], true],
        ["no peer has heard the holder for long", [1_200, 900, 2_000], true],
        // Guards against a host that is cut off from the others and takes a cell from a holder that serves all others.
        ["one peer hears the holder", [5_000, 100, neverHeard], false],
        ["only peers of the second batch answer", [undefined, undefined, undefined, undefined, 900, 800], true],
        ["no peer answers", [undefined, undefined], false],
    ])("decides whether a holder is down if %s", async (...[, silences, isDown]) => {
        const { probe, probed } = createProbe(silences);
        expect(await probe.isDown(probed)).toBe(isDown);
    });

    // Guards against a host that takes the cell of a late holder, which has announced fewer heartbeats.
    it.each([
        { timeout: 1_200, isDown: true },
        { timeout: 2_400, isDown: false },
    ])("applies the timeout that the holder has announced: $timeout ms", async ({ timeout, isDown }) => {
        const { probe, probed } = createProbe([1_100], timeout);
        expect(await probe.isDown(probed)).toBe(isDown);
    });

    // Guards against a last remaining host that waits forever for peers that are all lost.
    it("considers a holder down after a while if no peer answers", async () => {
        const { probe, probed } = createProbe([undefined, undefined]);
        const results: boolean[] = [];
        for (let passed = 0; passed <= 4_000; passed += 500) {
            results.push(await probe.isDown(probed));
            jest.advanceTimersByTime(500);
        }
        expect(results).toEqual([...Array<boolean>(8).fill(false), true]);
    });

    // Guards against a host that was cut off from its peers before and takes a cell from a live holder as soon as it is
    // cut off again.
    it("does not count the time of an earlier isolation", async () => {
        const { probe, probed } = createProbe([undefined, undefined]);
        await probe.isDown(probed);
        jest.advanceTimersByTime(20_000);
        expect(await probe.isDown(probed)).toBe(false);
    });

    it("does not ask again at once after a peer has heard the holder", async () => {
        const { probe, probed, calls } = createProbe([100]);
        await probe.isDown(probed);
        await probe.isDown(probed);
        expect(calls).toEqual(["0"]);
    });

    it.each<[string, Silences, boolean]>([
        ["was heard", [neverHeard, 3_000], true],
        ["was not heard", [neverHeard, undefined], false],
    ])("reports whether there is a successor that %s", async (...[, silences, hasSuccessor]) => {
        const { probe, probed } = createProbe(silences);
        expect(await probe.hasSuccessor(probed)).toBe(hasSuccessor);
    });
});
