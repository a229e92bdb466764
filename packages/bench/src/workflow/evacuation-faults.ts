import type { FaultContext } from "./fault-context.js";
import { randomFaults } from "./random-faults.js";

/** Lets the operator evacuate a failure domain for up to `longest` milliseconds. */
const evacuate = ({ cluster: { platform }, pick, draw, runAfter }: FaultContext, longest: number): void => {
    const domain = pick(["east-a", "east-b"]) ?? "";
    runAfter(draw() * longest, platform.evacuate(domain));
};

/** {@link randomFaults}, and the operator's requests to evacuate failure domains, which may overlap. */
export const evacuationFaults: typeof randomFaults = {
    ...randomFaults,
    "evacuate a failure domain": context => {
        evacuate(context, 14_000);
    },
    "evacuate a failure domain for a moment": context => {
        evacuate(context, 1_000);
    },
    "evacuate a failure domain and kill the holder": context => {
        evacuate(context, 14_000);
        context.runAfter(context.draw() * 6_000, () => {
            const host = context.cluster.holder();
            if (host === undefined || !context.cluster.hosts.has(host)) {
                // Another fault has killed it, and will start it again.
                return;
            }
            context.cluster.kill(host);
            context.runAfter(1_000, () => {
                context.cluster.start(host);
            });
        });
    },
};
