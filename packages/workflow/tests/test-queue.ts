import type { ServiceId } from "@jayfront/world";

import type { Queue } from "../src/model/queue.js";

/** A queue of urgent work, for tests that don't depend on its properties. */
export const testQueue: Queue = {
    name: "r-1",
    hostName: "desk.example",
    pathPrefix: "/urgent/",
    service: "desk" as ServiceId,
    priority: 0,
    maxAttempts: 3,
    slackFactor: 2,
    latencyTarget: 500,
};
