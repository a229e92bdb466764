/** Limits the rate of requests of each team. */
export interface TeamRateLimiter {
    /** Counts one request of `team`; false if the team exceeds its rate. */
    readonly admit: (team: string) => boolean;
}

/** Creates a token bucket per team: `rate()` requests per second, in bursts of up to one second's requests. */
export const createTeamRateLimiter = (rate: () => number): TeamRateLimiter => {
    const buckets = new Map<string, { tokens: number; refilledAt: number; }>();
    return {
        admit: team => {
            const now = performance.now();
            const bucket = buckets.get(team) ?? { tokens: rate(), refilledAt: now };
            bucket.tokens = Math.min(rate(), bucket.tokens + (now - bucket.refilledAt) / 1_000 * rate());
            bucket.refilledAt = now;
            buckets.set(team, bucket);
            if (bucket.tokens < 1) {
                return false;
            }
            bucket.tokens -= 1;
            return true;
        },
    };
};
