import { describe, expect, it, jest } from "@jest/globals";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { createLoadForecast } from "../src/policy/load-forecast.js";

/** Milliseconds between two reports of a workflow. */
const reportInterval = 200;
/** Milliseconds that the forecasts look ahead. */
const ahead = 2_500;

interface ForecastErrors {
    /** Root mean square by which the forecasts were too low. */
    readonly shortfall: number;
    /** Share of the forecasts that were too high by more than 0.25. */
    readonly tooHighShare: number;
}

/** Simulates eight workflows for 40 s, with speeds reported with 20% of noise; forecasts count after 15 s. */
const simulate = (speedOf: (job: number, now: number) => number, seed: number): ForecastErrors => {
    const random = xoroshiro128plus(seed);
    const forecast = createLoadForecast();
    const gaps: number[] = [];
    for (let now = 0; now < 40_000; now += reportInterval) {
        for (const job of Array(8).keys()) {
            const reported = speedOf(job, now) * (0.8 + 0.4 * uniformFloat64(random));
            forecast.learn(String(job), reported, 0.4, now);
            const slowest = Math.min(speedOf(job, now), speedOf(job, now + ahead / 2), speedOf(job, now + ahead));
            const predicted = forecast.slowestSpeed(String(job), now, ahead);
            if (now > 15_000 && predicted !== undefined) {
                gaps.push(slowest - predicted);
            }
        }
    }
    return {
        shortfall: Math.sqrt(gaps.reduce((sum, gap) => sum + Math.max(0, gap) ** 2, 0) / gaps.length),
        tooHighShare: gaps.filter(gap => gap < -0.25).length / gaps.length,
    };
};

describe("the forecast of loads that oscillate with one period and different phases", () => {
    it.each([[11_000, 1], [14_000, 2], [20_000, 3], [27_500, 4]])(
        "predicts the next 2.5 s once it has learned for 15 s (period %i ms, seed %i)",
        (period, seed) => {
            const { shortfall, tooHighShare } = simulate(
                (job, now) => 2.6 + 1.15 * Math.sin(2 * Math.PI * now / period + job * 1.3),
                seed,
            );
            expect(shortfall).toBeLessThan(0.5);
            expect(tooHighShare).toBeLessThan(0.02);
        },
    );

    it("is seldom too high where loads change at random", () => {
        const random = xoroshiro128plus(7);
        const levels = Array.from(
            { length: 8 },
            () => Array.from({ length: 60 }, () => 1.5 + 2.2 * uniformFloat64(random)),
        );
        const { tooHighShare } = simulate((job, now) => levels[job]?.[Math.floor(now / 1_900)] ?? 1.5, 8);
        expect(tooHighShare).toBeLessThan(0.35);
    });

    it("is undefined for a workflow that has not been seen for long enough", () => {
        const forecast = createLoadForecast();
        forecast.learn("a", 3, 0.4, 0);
        expect(forecast.slowestSpeed("a", 1_000, ahead)).toBeUndefined();
        expect(forecast.slowestSpeed("b", 1_000, ahead)).toBeUndefined();
    });

    it("has these figures", () => {
        const random = xoroshiro128plus(9);
        const forecast = createLoadForecast();
        for (let now = 0; now < 60_000; now += 300) {
            for (const job of ["a", "b", "c"]) {
                const speed = 2.5 + Math.sin(now / 2_100 + job.charCodeAt(0)) + 0.4 * uniformFloat64(random);
                forecast.learn(job, speed, 0.3, now);
            }
        }
        const figures = ["a", "b", "c"].flatMap(job => [
            ...[1_500, 3_000, 5_000].map(span => forecast.slowestSpeed(job, 60_000, span)),
            forecast.highestSpeed(job, 60_000),
        ]);
        expect(figures).toMatchSnapshot();
    });

    // Guards against holders that compute the same sines for each period and workflow of a report again.
    it("computes the sines of a time once for all workflows, and the decay once for all periods", () => {
        const forecast = createLoadForecast();
        const jobs = ["a", "b", "c"];
        jobs.forEach(job => {
            forecast.learn(job, 2, 0.3, 1_000);
        });
        const spies = [jest.spyOn(Math, "sin"), jest.spyOn(Math, "cos"), jest.spyOn(Math, "exp")];
        jobs.forEach(job => {
            forecast.learn(job, 2, 0.3, 1_400);
        });
        const counts = spies.map(spy => spy.mock.calls.length);
        jest.restoreAllMocks();
        expect(counts).toEqual([31, 31, 3]);
    });
});
