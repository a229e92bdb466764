import { Result } from "true-myth";

import type { ProtocolHandler } from "./protocol-answer.js";
import { connectionLostStatus } from "./protocol-answer.js";

/** One call of a client; the shape of the adapter's own HTTP client. */
export interface NetworkCall {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** Milliseconds until the call is given up. */
    readonly timeout: number;
}

/** A whole answer. */
export interface NetworkAnswer {
    readonly status: number;
    readonly body: unknown;
    readonly retryAfter: string | undefined;
}

/** No answer came. */
export interface NetworkFailure {
    readonly isSent: boolean;
    readonly isRefused: boolean;
    readonly message: string;
}

/** A disturbance of calls; `matches` selects them. */
export interface NetworkFault {
    readonly matches: (from: string, call: NetworkCall) => boolean;
    /**
     * `cut`: nothing arrives and nothing is answered. `lose-answer`: done, but not answered. `late`: not answered, and
     * done after `delay`. `slow`: answered after `delay`. `refuse`: answered with `status`.
     */
    readonly action: "cut" | "lose-answer" | "late" | "slow" | "refuse";
    /** Milliseconds. */
    readonly delay?: number;
    readonly status?: number;
}

/** Links between clients and doors, in the memory of one process. */
export interface ProtocolNetwork {
    readonly addServer: (address: string, door: ProtocolHandler) => void;
    /** Nobody listens at the address any more; calls to it are refused. */
    readonly removeServer: (address: string) => void;
    /** A client that calls from `from`. */
    readonly clientOf: (from: string) => {
        readonly call: (call: NetworkCall) => Promise<Result<NetworkAnswer, NetworkFailure>>;
        readonly disconnect: (address: string) => void;
        readonly close: () => void;
    };
    /** Adds a fault; what it returns heals it. */
    readonly addFault: (fault: NetworkFault) => () => void;
    readonly counts: ReadonlyMap<string, number>;
}

/** Milliseconds that a call and its answer take together. */
const latency = 4;

const pause = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** Creates a network without doors. */
export const createProtocolNetwork = (): ProtocolNetwork => {
    const doors = new Map<string, ProtocolHandler>();
    const faults = new Set<NetworkFault>();
    const counts = new Map<string, number>();

    const execute = async (call: NetworkCall): Promise<NetworkAnswer> => {
        const [path = "", query = ""] = call.path.split("?");
        const door = doors.get(call.address);
        // Bodies travel as text, so that neither side sees the other's objects.
        const body = call.body === undefined ? undefined : JSON.parse(JSON.stringify(call.body)) as unknown;
        const answer = await door?.({
            method: call.method,
            path,
            query: new URLSearchParams(query),
            body,
            headers: call.headers ?? {},
        });
        return { status: answer?.status ?? 404, body: answer?.body, retryAfter: undefined };
    };
    const giveUp = async (timeout: number): Promise<Result<NetworkAnswer, NetworkFailure>> => {
        await pause(timeout);
        return Result.err({ isSent: true, isRefused: false, message: `no answer within ${String(timeout)} ms` });
    };
    const strike = async (
        fault: NetworkFault,
        call: NetworkCall,
    ): Promise<Result<NetworkAnswer, NetworkFailure>> => {
        if (fault.action === "refuse") {
            await pause(latency);
            return Result.ok({ status: fault.status ?? 503, body: undefined, retryAfter: undefined });
        }
        if (fault.action === "slow" && (fault.delay ?? 0) < call.timeout) {
            await pause(fault.delay ?? 0);
            return Result.ok(await execute(call));
        }
        if (fault.action === "lose-answer") {
            void execute(call);
        }
        if (fault.action === "late" || fault.action === "slow") {
            setTimeout(() => void execute(call), fault.delay ?? 0);
        }
        return giveUp(call.timeout);
    };
    const call = async (from: string, made: NetworkCall): Promise<Result<NetworkAnswer, NetworkFailure>> => {
        const name = made.path.split("?")[0] ?? "";
        counts.set(name, (counts.get(name) ?? 0) + 1);
        if (!doors.has(made.address)) {
            await pause(latency);
            return Result.err({ isSent: false, isRefused: true, message: `nobody listens on ${made.address}` });
        }
        const fault = [...faults].find(candidate => candidate.matches(from, made));
        if (fault !== undefined) {
            return strike(fault, made);
        }
        const answered = execute(made).then(async answer => {
            await pause(latency);
            return answer.status === connectionLostStatus
                ? Result.err<NetworkAnswer, NetworkFailure>({ isSent: true, isRefused: false, message: "it broke off" })
                : Result.ok<NetworkAnswer, NetworkFailure>(answer);
        });
        return Promise.race([answered, giveUp(made.timeout)]);
    };
    return {
        counts,
        addServer: (address, door) => {
            doors.set(address, door);
        },
        removeServer: address => {
            doors.delete(address);
        },
        addFault: fault => {
            faults.add(fault);
            return () => {
                faults.delete(fault);
            };
        },
        clientOf: from => ({
            call: made => call(from, made),
            disconnect: () => undefined,
            close: () => undefined,
        }),
    };
};
