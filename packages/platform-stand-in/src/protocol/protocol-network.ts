import { Result } from "true-myth";

import type { ProtocolHandler } from "./protocol-answer.js";
import { connectionLostStatus } from "./protocol-answer.js";

/** A call of a client. Has the shape of the adapter's `HttpCall`. */
export interface NetworkCall {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** Milliseconds without an answer after which the call fails. */
    readonly timeout: number;
}

/** A complete answer. Has the shape of the adapter's `HttpAnswer`. */
export interface NetworkAnswer {
    readonly status: number;
    readonly body: unknown;
    readonly retryAfter: string | undefined;
}

/** Failure of a call that got no answer. Has the shape of the adapter's `HttpFailure`. */
export interface NetworkFailure {
    readonly isSent: boolean;
    readonly isRefused: boolean;
    readonly message: string;
}

/** A fault that affects the calls selected by `matches`. */
export interface NetworkFault {
    readonly matches: (from: string, call: NetworkCall) => boolean;
    /**
     * `cut`: neither executed nor answered. `lose-answer`: executed, but not answered. `late`: executed after `delay`,
     * but not answered; `late-grant`: likewise, and the time until its deadline counts from then. `slow`: executed after
     * `delay`, and answered if that is below the call's timeout. `refuse`: not executed, answered with `status`.
     * `refuse-connection`: not sent; a cut may show itself in this way.
     */
    readonly action: "cut" | "lose-answer" | "late" | "late-grant" | "slow" | "refuse" | "refuse-connection";
    /** Milliseconds of `late`, `late-grant` and `slow`. Default 0. */
    readonly delay?: number;
    /** HTTP status of `refuse`. Default 503. */
    readonly status?: number;
}

/** A simulated network between clients and servers in one process. */
export interface ProtocolNetwork {
    /** Serves an address with `handler`. */
    readonly addServer: (address: string, handler: ProtocolHandler) => void;
    /** Stops serving an address; further calls to it fail with `isRefused`. */
    readonly removeServer: (address: string) => void;
    /** Creates a client at `from`, which faults can match. */
    readonly clientOf: (from: string) => {
        readonly call: (call: NetworkCall) => Promise<Result<NetworkAnswer, NetworkFailure>>;
        readonly disconnect: (address: string) => void;
        readonly close: () => void;
    };
    /** Activates a fault; the returned function removes it. */
    readonly addFault: (fault: NetworkFault) => () => void;
    /** Number of calls by path. */
    readonly counts: ReadonlyMap<string, number>;
}

/** Milliseconds that a call and its answer take in the network together. */
const latency = 4;

const pause = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** The call with its deadline, if it has one, `delay` ms later. */
const postponeDeadline = (call: NetworkCall, delay: number): NetworkCall => {
    const body = call.body as { readonly deadlineMs?: number; } | undefined;
    return body?.deadlineMs === undefined
        ? call
        : { ...call, body: { ...body, deadlineMs: Math.round(body.deadlineMs + delay) } };
};

/** Creates a network without servers. */
export const createProtocolNetwork = (): ProtocolNetwork => {
    const servers = new Map<string, ProtocolHandler>();
    const faults = new Set<NetworkFault>();
    const counts = new Map<string, number>();

    /** `sentAt`: see `ProtocolCall.sentAt`. */
    const execute = async (call: NetworkCall, sentAt?: number): Promise<NetworkAnswer> => {
        const [path = "", query = ""] = call.path.split("?");
        const handler = servers.get(call.address);
        // Encodes and decodes the body, so that caller and handler never share an object.
        const body = call.body === undefined ? undefined : JSON.parse(JSON.stringify(call.body)) as unknown;
        const answer = await handler?.({
            method: call.method,
            path,
            query: new URLSearchParams(query),
            body,
            headers: call.headers ?? {},
            ...(sentAt === undefined ? {} : { sentAt }),
        });
        return { status: answer?.status ?? 404, body: answer?.body, retryAfter: undefined };
    };
    const timeOut = async (timeout: number): Promise<Result<NetworkAnswer, NetworkFailure>> => {
        await pause(timeout);
        return Result.err({ isSent: true, isRefused: false, message: `no answer within ${String(timeout)} ms` });
    };
    const refuseConnection = async ({ address }: NetworkCall): Promise<Result<NetworkAnswer, NetworkFailure>> => {
        await pause(latency);
        return Result.err({ isSent: false, isRefused: true, message: `the connection to ${address} was refused` });
    };
    const applyFault = async (
        fault: NetworkFault,
        call: NetworkCall,
    ): Promise<Result<NetworkAnswer, NetworkFailure>> => {
        const sentAt = performance.now();
        if (fault.action === "refuse-connection") {
            return refuseConnection(call);
        }
        if (fault.action === "refuse") {
            await pause(latency);
            return Result.ok({ status: fault.status ?? 503, body: undefined, retryAfter: undefined });
        }
        if (fault.action === "slow" && (fault.delay ?? 0) < call.timeout) {
            await pause(fault.delay ?? 0);
            return Result.ok(await execute(call, sentAt));
        }
        if (fault.action === "lose-answer") {
            void execute(call);
        }
        if (fault.action === "late-grant") {
            setTimeout(() => void execute(postponeDeadline(call, fault.delay ?? 0), sentAt), fault.delay ?? 0);
        }
        if (fault.action === "late" || fault.action === "slow") {
            setTimeout(() => void execute(call, sentAt), fault.delay ?? 0);
        }
        return timeOut(call.timeout);
    };
    const send = async (from: string, call: NetworkCall): Promise<Result<NetworkAnswer, NetworkFailure>> => {
        const name = call.path.split("?")[0] ?? "";
        counts.set(name, (counts.get(name) ?? 0) + 1);
        if (!servers.has(call.address)) {
            return refuseConnection(call);
        }
        const fault = [...faults].find(candidate => candidate.matches(from, call));
        if (fault !== undefined) {
            return applyFault(fault, call);
        }
        const answered = execute(call).then(async answer => {
            await pause(latency);
            return answer.status === connectionLostStatus
                ? Result.err<NetworkAnswer, NetworkFailure>({
                    isSent: true,
                    isRefused: false,
                    message: "connection closed before an answer",
                })
                : Result.ok<NetworkAnswer, NetworkFailure>(answer);
        });
        return Promise.race([answered, timeOut(call.timeout)]);
    };
    return {
        counts,
        addServer: (address, handler) => {
            servers.set(address, handler);
        },
        removeServer: address => {
            servers.delete(address);
        },
        addFault: fault => {
            faults.add(fault);
            return () => {
                faults.delete(fault);
            };
        },
        clientOf: from => ({
            call: call => send(from, call),
            disconnect: () => undefined,
            close: () => undefined,
        }),
    };
};
