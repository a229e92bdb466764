import { describe, expect, it } from "@jest/globals";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { Configuration, Queue } from "../src/index.js";
import { createConfigurationHistory, packedChange } from "../src/index.js";
import { testQueue } from "./test-queue.js";

const queueOf = (name: string, latencyTarget: number): Queue => ({ ...testQueue, name, latencyTarget });
const configurationOf = (version: number, queues: readonly Queue[]): Configuration => ({
    version,
    queues,
    pools: [],
    bodyLimit: 1_000 + version,
    position: version * 10,
});
const byName = (configuration: Configuration | undefined): object => ({
    ...configuration,
    queues: configuration?.queues.toSorted((left, right) => left.name < right.name ? -1 : 1),
});

describe("the history of the configuration", () => {
    // Guards against a version that is put together wrongly from changes: a host would serve queues that are gone, or
    // lack some, under the right version.
    it.each([1, 2, 3, 4, 5])("leads another host to the same configuration by changes, seed %i", seed => {
        const random = xoroshiro128plus(seed);
        const draw = (most: number): number => uniformInt(random, 0, most);
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
                    queues.set(name, queueOf(name, draw(5)));
                }
            }
            const configuration = configurationOf(version, [...queues.values()]);
            // Some versions are seen by one host only, and each host learns from either source.
            [first, ...others].filter(() => draw(2) > 0).forEach(history => history.replace(configuration));
            const [from = first, to = first] = draw(1) === 0 ? [first, ...others] : [...others, first];
            const change = from.changeSince(to.version());
            if (change !== undefined) {
                expect(to.apply(packedChange.unpack(packedChange.pack(change)))).toBe(true);
                expect(byName(to.current())).toEqual(byName(from.current()));
            }
        }
    });

    // Guards against a queue that came and went between two versions of the sender and stays with the receiver.
    it("sends the whole to a host whose version it never held", () => {
        const history = createConfigurationHistory();
        history.replace(configurationOf(1, [queueOf("a", 1)]));
        history.replace(configurationOf(3, [queueOf("a", 1)]));
        expect(history.changeSince(2)?.base).toBeUndefined();
        expect(history.changeSince(1)?.base).toBe(1);
    });

    // Guards against going back, and against a change that is applied to another version than it was made for.
    it("takes nothing older and no change with another base", () => {
        const history = createConfigurationHistory();
        const ahead = createConfigurationHistory();
        ahead.replace(configurationOf(4, [queueOf("a", 1)]));
        ahead.replace(configurationOf(5, [queueOf("b", 1)]));
        const change = ahead.changeSince(4);
        history.replace(configurationOf(6, []));
        expect(history.replace(configurationOf(5, [queueOf("a", 1)]))).toBe(false);
        expect(change !== undefined && history.apply(change)).toBe(false);
        expect(history.version()).toBe(6);
    });
});
