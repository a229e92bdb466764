import { deskConfiguration } from "@jayfront/platform-stand-in";

const queues = 1_800;

/** A configuration of many queues, of which each version changes one; the names hardly deflate. */
export const largeConfiguration = (version: number): object => ({
    ...deskConfiguration,
    version,
    routes: [
        ...deskConfiguration.routes,
        ...Array.from({ length: queues }, (...[, number]) => ({
            name: `queue-${String(number)}`,
            host: `${Math.abs(Math.sin(number)).toString(36).slice(2)}.example`,
            pathPrefix: `/queue-${String(number)}/`,
            service: "desk",
            priority: number % 3,
            maxAttempts: 3,
            slackFactor: 2,
            targetLatencyMs: number === version % queues ? version : 500,
        })),
    ],
});
