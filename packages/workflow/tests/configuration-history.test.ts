import { describe, expect, it } from "@jest/globals";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { Configuration, Queue } from "../src/index.js";
import { createConfigurationHistory, packedChange } from "../src/index.js";
import { testQueue } from "./test-queue.js";

const createQueue = (name: string, latencyTarget: number): Queue => ({ ...testQueue, name, latencyTarget });
const createConfiguration = (version: number, queues: readonly Queue[]): Configuration => ({
    version,
    queues,
    pools: [],
    bodyLimit: 1_000 + version,
    position: version * 10,
});
const sortQueues = (configuration: Configuration | undefined): object => ({
    ...configuration,
    queues: configuration?.queues.toSorted((left, right) => left.name < right.name ? -1 : 1),
});

describe("configuration history", () => {
    // Guards against changes that are computed or applied wrongly: a host would have the right version, but would serve
    // removed queues or lack new ones.
    it.each([1, 2, 3, 4, 5])("brings another host to the same configuration by changes, seed %i", seed => {
        const random = xoroshiro128plus(seed);
        const draw = (maximum: number): number => uniformInt(random, 0, maximum);
        const first = createConfigurationHistory();
        const others = [createConfigurationHistory(), createConfigurationHistory()];
        let queues = new Map<string, Queue>();
        for (let version = 1; version < 120; version += 1 + draw(3)) {
            queues = new Map(queues);
            for (let edits = draw(4); edits >= 0; edits -= 1) {
                const name = `q-${String(draw(9))}`;
                if (draw(2) === 0) {
                    queues.delete(name);
                }
                else {
                    queues.set(name, createQueue(name, draw(5)));
                }
            }
            const configuration = createConfiguration(version, [...queues.values()]);
            // Each host receives some versions whole and misses others, and changes go in either direction.
            [first, ...others].filter(() => draw(2) > 0).forEach(history => history.replace(configuration));
            const [sender = first, receiver = first] = draw(1) === 0 ? [first, ...others] : [...others, first];
            const change = sender.changeSince(receiver.version());
            if (change !== undefined) {
                expect(receiver.apply(packedChange.unpack(packedChange.pack(change)))).toBe(true);
                expect(sortQueues(receiver.current())).toEqual(sortQueues(sender.current()));
            }
        }
    });

    // Guards against a queue that was added and removed between two versions of the sender and stays with the receiver.
    it("sends the whole configuration to a host whose version it never had", () => {
        const history = createConfigurationHistory();
        history.replace(createConfiguration(1, [createQueue("a", 1)]));
        history.replace(createConfiguration(3, [createQueue("a", 1)]));
        expect(history.changeSince(2)?.base).toBeUndefined();
        expect(history.changeSince(1)?.base).toBe(1);
    });

    // Guards against a return to an older version, and against a change applied to another version than its base.
    it("rejects an older configuration and a change with another base", () => {
        const history = createConfigurationHistory();
        const ahead = createConfigurationHistory();
        ahead.replace(createConfiguration(4, [createQueue("a", 1)]));
        ahead.replace(createConfiguration(5, [createQueue("b", 1)]));
        const change = ahead.changeSince(4);
        history.replace(createConfiguration(6, []));
        expect(history.replace(createConfiguration(5, [createQueue("a", 1)]))).toBe(false);
        expect(change !== undefined && history.apply(change)).toBe(false);
        expect(history.version()).toBe(6);
    });
});
