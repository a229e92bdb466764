import type { FailureDomainId } from "@jayfront/world";
import { createWakeUp, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { KnownEvacuations } from "../policy/domain-starts.js";
import { isEvacuated, longestKnowledgeAge, mayStartIn, newerEvacuations } from "../policy/domain-starts.js";
import type { EvacuationSource } from "../port/evacuation-source.js";

/** What the cells of a host need to know of the operator's requests to evacuate failure domains. */
export interface Evacuations {
    /** Whether a start may be sent to a worker of the failure domain now. */
    readonly mayStartIn: (domain: FailureDomainId) => boolean;
    /** Whether the failure domain is to be evacuated, as far as is known. */
    readonly isEvacuated: (domain: FailureDomainId) => boolean;
    /** Version of the store at which the request for the failure domain was made; undefined without one. */
    readonly versionOf: (domain: FailureDomainId) => number | undefined;
    /** Milliseconds since the read was sent that returned what is known; Infinity before the first answer. */
    readonly age: () => number;
}

/** Keeps a host's knowledge of the evacuation requests. */
export interface EvacuationWatch extends Evacuations {
    /** Has the requests read at once, since this host has begun to hold a cell. */
    readonly readNow: () => void;
    /** Reads the requests at regular intervals while this host needs them, until `signal` aborts. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Options of {@link createEvacuationWatch}. */
export interface EvacuationWatchOptions {
    readonly source: EvacuationSource;
    /** Milliseconds from the acknowledgement of a request after which nothing may start in its failure domain. */
    readonly bound: number;
    /** Whether this host holds a cell. */
    readonly isNeeded: () => boolean;
    /** Called when the request for a failure domain has been removed, before anything starts there again. */
    readonly onReopened: (domain: FailureDomainId) => void;
    readonly logger: Logger;
}

/** Milliseconds between two reads: several of them fit into the shortest bound of which the users tell, 5 s. */
const readInterval = 1_000;
/** Milliseconds after a failed read until the next one. */
const retryInterval = 200;

/** For deployments without evacuation requests. */
export const noEvacuations: Evacuations = {
    mayStartIn: () => true,
    isEvacuated: () => false,
    versionOf: () => undefined,
    age: () => 0,
};

/** Creates a watch that knows nothing yet, so that nothing may start. */
export const createEvacuationWatch = (
    { source, bound, isNeeded, onReopened, logger }: EvacuationWatchOptions,
): EvacuationWatch => {
    const wakeUp = createWakeUp();
    let known: KnownEvacuations | undefined;
    let wasFresh = false;
    const age = (): number => performance.now() - (known?.readAt ?? -Infinity);
    const logFreshness = (error?: string): void => {
        const isFresh = age() < longestKnowledgeAge(bound);
        if (isFresh !== wasFresh) {
            wasFresh = isFresh;
            const details = { version: known?.version, age: Math.round(age()), error };
            if (isFresh) {
                logger.info(details, "evacuation requests known");
            }
            else {
                logger.warn(details, "evacuation requests not known for too long; starting nothing");
            }
        }
    };
    /** Reads the requests; resolves to whether the read was answered. */
    const read = async (): Promise<boolean> => {
        const readAt = performance.now();
        try {
            // A later answer would permit no starts any more.
            const answer = await source.read(longestKnowledgeAge(bound));
            if (answer.isOk) {
                const closedBefore = known?.requests ?? [];
                known = newerEvacuations(known, { ...answer.value, readAt });
                closedBefore.map(({ failureDomain }) => failureDomain)
                    .filter(domain => !isEvacuated(domain, known))
                    .forEach(onReopened);
            }
            logFreshness(answer.isErr ? answer.error.kind : undefined);
            return answer.isOk;
        }
        catch (error) {
            const stack = error instanceof Error ? error.stack : undefined;
            const message = "a read of the evacuation requests failed with an exception; report it as a bug";
            logger.error({ error: String(error), stack }, message);
            return false;
        }
    };
    return {
        mayStartIn: domain => mayStartIn(domain, known, bound, performance.now()),
        isEvacuated: domain => isEvacuated(domain, known),
        versionOf: domain => known?.requests.find(({ failureDomain }) => failureDomain === domain)?.version,
        age,
        readNow: wakeUp.notify,
        run: async signal => {
            while (!signal.aborted) {
                if (!isNeeded()) {
                    await wakeUp.wait(readInterval, signal);
                    continue;
                }
                const next = performance.now() + readInterval;
                // A read without an answer must not keep the next one from a store that answers again.
                const isAnswered = await Promise.race([read(), sleep(readInterval, signal).then(() => undefined)]);
                await wakeUp.wait(isAnswered === false ? retryInterval : next - performance.now(), signal);
            }
        },
    };
};
