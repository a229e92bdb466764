import { deskConfiguration } from "@jayfront/platform-stand-in";

const queueCount = 1_800;

/** Creates a version of a configuration with many queues; each version changes one. The host names hardly compress. */
export const largeConfiguration = (version: number): object => ({
    ...deskConfiguration,
    version,
    routes: [
        ...deskConfiguration.routes,
        ...Array.from({ length: queueCount }, (...[, number]) => ({
            name: `queue-${String(number)}`,
            host: `${Math.abs(Math.sin(number)).toString(36).slice(2)}.example`,
            pathPrefix: `/queue-${String(number)}/`,
            service: "desk",
            priority: number % 3,
            maxAttempts: 3,
            slackFactor: 2,
            targetLatencyMs: number === version % queueCount ? version : 500,
        })),
    ],
});
