/** A configuration in the operator's format: one queue of urgent workflows for the workers of the service `desk`. */
export const deskConfiguration = {
    version: 1,
    routes: [{
        name: "r-urgent",
        host: "desk.example",
        pathPrefix: "/urgent/",
        service: "desk",
        priority: 0,
        maxAttempts: 3,
        slackFactor: 2,
        targetLatencyMs: 500,
    }],
    services: [{ name: "desk", admissionCheck: true }],
};
