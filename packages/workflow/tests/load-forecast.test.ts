import { describe, expect, it } from "@jest/globals";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { createLoadForecast } from "../src/policy/load-forecast.js";

const reportInterval = 200;
const ahead = 2_500;

interface Played {
    /** Root mean square of how far forecasts lie below what came, and share of those that promised too much. */
    readonly shortfall: number;
    readonly broken: number;
}

/** Speeds of eight workflows, reported with 20% of noise, for 40 s; judged after 15 s. */
const play = (speedOf: (job: number, now: number) => number, seed: number): Played => {
    const random = xoroshiro128plus(seed);
    const forecast = createLoadForecast();
    const gaps: number[] = [];
    for (let now = 0; now < 40_000; now += reportInterval) {
        for (const job of Array(8).keys()) {
            const reported = speedOf(job, now) * (0.8 + 0.4 * uniformFloat64(random));
            forecast.learn(String(job), reported, 0.4, now);
            const slowest = Math.min(speedOf(job, now), speedOf(job, now + ahead / 2), speedOf(job, now + ahead));
            const promised = forecast.slowestSpeed(String(job), now, ahead);
            if (now > 15_000 && promised !== undefined) {
                gaps.push(slowest - promised);
            }
        }
    }
    return {
        shortfall: Math.sqrt(gaps.reduce((sum, gap) => sum + Math.max(0, gap) ** 2, 0) / gaps.length),
        broken: gaps.filter(gap => gap < -0.25).length / gaps.length,
    };
};

describe("the forecast of loads that swing with one period, each in its own phase", () => {
    it.each([[11_000, 1], [14_000, 2], [20_000, 3], [27_500, 4]])(
        "knows what comes within 2.5 s after 15 s (period %i ms, seed %i)",
        (period, seed) => {
            const { shortfall, broken } = play(
                (job, now) => 2.6 + 1.15 * Math.sin(2 * Math.PI * now / period + job * 1.3),
                seed,
            );
            expect(shortfall).toBeLessThan(0.5);
            expect(broken).toBeLessThan(0.02);
        },
    );

    it("promises little where loads follow no wave", () => {
        const random = xoroshiro128plus(7);
        const steps = Array.from(
            { length: 8 },
            () => Array.from({ length: 60 }, () => 1.5 + 2.2 * uniformFloat64(random)),
        );
        const { broken } = play((job, now) => steps[job]?.[Math.floor(now / 1_900)] ?? 1.5, 8);
        expect(broken).toBeLessThan(0.35);
    });

    it("says nothing of a workflow that was hardly seen", () => {
        const forecast = createLoadForecast();
        forecast.learn("a", 3, 0.4, 0);
        expect(forecast.slowestSpeed("a", 1_000, ahead)).toBeUndefined();
        expect(forecast.slowestSpeed("b", 1_000, ahead)).toBeUndefined();
    });
});
