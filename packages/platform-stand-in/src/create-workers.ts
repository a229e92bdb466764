import type { FailureDomainId, Worker } from "@jayfront/world";
import { workerId } from "@jayfront/world";

import type { StandInSettings } from "./stand-in-settings.js";

/** Creates the descriptions of the workers of `groups`; `addressOf` returns the `IP:port` of each. */
export const createWorkers = (
    groups: StandInSettings["workers"],
    addressOf: (id: string) => string,
): readonly Worker[] =>
    groups.flatMap(group =>
        [...Array(group.count).keys()].map(number => {
            const id = `${group.failureDomain}-w${String(number + 1).padStart(2, "0")}`;
            return {
                id: workerId(id),
                failureDomain: group.failureDomain as FailureDomainId,
                rack: `${group.failureDomain}-r${String(Math.floor(number / group.rack) + 1)}`,
                address: addressOf(id),
                resources: { cores: group.cores, memory: group.memory, accelerators: group.accelerators },
                slots: group.slots,
                connections: group.connections,
                state: "live" as const,
            };
        })
    );
