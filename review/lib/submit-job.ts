import { callHost } from "./client.js";
import type { Cluster } from "./cluster.js";
import type { CaseRecord } from "./record.js";
import { wait } from "./wait.js";

/** A step as clients describe it. */
export interface ClientStep {
    readonly count: number;
    readonly cpu: number;
    readonly memoryRequestMb: number;
    readonly estimatedMs: number;
    readonly after?: readonly number[];
    readonly checkpointing?: boolean;
    readonly requirements?: string;
    readonly longRunning?: boolean;
}

/** Attempts of a client, and milliseconds between two. */
const attempts = 4;
const retryInterval = 500;

/** Hands a job in at one host after the other; resolves to whether it was accepted. */
export const submitJob = async (
    { hosts }: Cluster,
    record: CaseRecord,
    id: string,
    specification: object,
    steps: readonly ClientStep[],
): Promise<boolean> => {
    const first = Number.parseInt(id.slice(0, 4), 16);
    for (let attempt = 0; attempt < attempts; attempt += 1) {
        const host = hosts[(first + attempt) % hosts.length];
        const body = { specification: JSON.stringify(specification), steps };
        const answer = await callHost(host?.address ?? "", "POST", `/desk/${id}`, body);
        record.add(`client POST ${id} to ${host?.id ?? ""}: ${String(answer?.status)}`);
        if (answer?.status === 200) {
            return true;
        }
        await wait(retryInterval);
    }
    return false;
};

/** Asks one host after the other for the state of a job; resolves to undefined if none tells it. */
export const readState = async (
    { hosts }: Cluster,
    record: CaseRecord,
    id: string,
): Promise<string | undefined> => {
    for (const host of hosts) {
        const answer = await callHost(host.address, "GET", `/desk/${id}`);
        const { state } = (answer?.body ?? {}) as { readonly state?: string; };
        record.add(`client GET ${id} at ${host.id}: ${String(answer?.status)} ${String(state)}`);
        if (state !== undefined) {
            return state;
        }
    }
    return undefined;
};
