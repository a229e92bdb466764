/** Admits requests of each team at a bounded rate. */
export interface TeamRateLimiter {
    /** Takes one request in; false where the team is above its rate. */
    readonly admit: (team: string) => boolean;
}

/** Creates a limit of `rate()` requests a second and team; a second's worth may come at once. */
export const createTeamRateLimiter = (rate: () => number): TeamRateLimiter => {
    const buckets = new Map<string, { tokens: number; at: number; }>();
    return {
        admit: team => {
            const now = performance.now();
            const bucket = buckets.get(team) ?? { tokens: rate(), at: now };
            bucket.tokens = Math.min(rate(), bucket.tokens + (now - bucket.at) / 1_000 * rate());
            bucket.at = now;
            buckets.set(team, bucket);
            if (bucket.tokens < 1) {
                return false;
            }
            bucket.tokens -= 1;
            return true;
        },
    };
};
