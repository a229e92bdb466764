import type { Readable } from "node:stream";

import type { EndpointResponse, PlatformError } from "@jayfront/platform";
import type { QueueRefusal, RequestQueue } from "@jayfront/policy";
import { createRequestQueue } from "@jayfront/policy";
import type { ServiceId } from "@jayfront/world";
import { Result } from "true-myth";

import type { HeaderFields } from "../http/exchange.js";
import type { ReplayableBody } from "../util/replayable-body.js";
import type { CellContext } from "./cell-context.js";
import type { HeldWorker } from "./held-worker.js";

/** Why a cell did not bring a whole answer; only `outcome-unknown` and `deadline-passed` leave open whether it ran. */
export type DispatchRefusal =
    | "overloaded"
    | "deadline-unreachable"
    | "no-endpoint"
    | "cell-moved"
    | "outcome-unknown"
    | "deadline-passed";

/** A request as a cell's holder gets it. */
export interface DispatchRequest {
    readonly service: ServiceId;
    readonly method: string;
    /** Path and query below the service. */
    readonly path: string;
    readonly headers: HeaderFields;
    readonly body: ReplayableBody;
    /** Ends the request: its caller is gone or its deadline has passed. */
    readonly signal: AbortSignal;
    /** Monotonic milliseconds. */
    readonly deadline: number;
    /** Requests that may wait. */
    readonly queueLimit: number;
}

/** Admits requests to the workers of a held cell. */
export interface RequestDispatcher {
    readonly serve: (request: DispatchRequest) => Promise<Result<EndpointResponse, DispatchRefusal>>;
    readonly freeSlots: () => number;
    readonly queued: () => number;
    /** Lets waiting requests go on after slots have become free. */
    readonly admitWaiting: () => void;
    readonly close: () => void;
}

/** Endpoints that are tried for one request where each refuses it. */
const dispatchAttempts = 3;

const refusalOfQueue: Record<QueueRefusal, DispatchRefusal> = {
    "queue-full": "overloaded",
    "deadline-unreachable": "deadline-unreachable",
    "deadline-passed": "deadline-unreachable",
    cancelled: "deadline-unreachable",
    closed: "cell-moved",
};

/** Creates a desk for the workers of `context`. */
export const createRequestDispatcher = (context: CellContext): RequestDispatcher => {
    const { workers, platform, scheduler, guard } = context;
    const isUsable = (held: HeldWorker): boolean =>
        held.wasAdopted && held.isReachable && !held.needsAdoption && !held.isLeaving;
    const usable = (): readonly HeldWorker[] => [...workers.values()].filter(isUsable);
    const freeSlots = (): number => usable().reduce((sum, held) => sum + Math.max(0, held.account.freeSlots()), 0);
    const allSlots = (): number => usable().reduce((sum, held) => sum + held.worker.slots, 0);
    const queue: RequestQueue<HeldWorker> = createRequestQueue<HeldWorker>({ slots: allSlots });

    let turn = 0;
    /** The freest worker; among equals each in its turn, so that quiet times don't press one worker alone. */
    const takeSlot = (): HeldWorker | undefined => {
        const all = usable();
        turn += 1;
        let best: HeldWorker | undefined;
        for (const offset of all.keys()) {
            const held = all[(turn + offset) % all.length];
            if (held !== undefined && held.account.freeSlots() > (best?.account.freeSlots() ?? 0)) {
                best = held;
            }
        }
        return best?.account.admitRequest() === true ? best : undefined;
    };
    const pump = (): void => {
        queue.pump(takeSlot);
    };
    const endRequest = (held: HeldWorker): void => {
        held.account.endRequest();
        pump();
    };
    const keepUntilInventory = (held: HeldWorker): void => {
        held.unsettledRequests += 1;
        held.needsAdoption = true;
        scheduler.setUsable(held.worker.id, false);
    };
    const waitForSlot = async (request: DispatchRequest): Promise<Result<HeldWorker, DispatchRefusal>> => {
        const held = queue.length() === 0 ? takeSlot() : undefined;
        if (held !== undefined) {
            return Result.ok(held);
        }
        if (usable().length === 0) {
            return Result.err("no-endpoint");
        }
        // Whoever waits longer than the tail leaves room for can't be answered quickly: better refused at once.
        const latest = Math.min(request.deadline, performance.now() + guard.allowedWait(request.service));
        const answer = await queue.wait(latest, request.queueLimit, request.signal);
        return answer.mapErr(refusal => refusalOfQueue[refusal]);
    };
    /** Frees the slot when the answer's body has ended. */
    const watchBody = (held: HeldWorker, service: ServiceId, response: EndpointResponse, startedAt: number): void => {
        response.body.once("close", () => {
            const latency = performance.now() - startedAt;
            queue.recordServiceTime(latency);
            guard.recordRequest(held.worker.id, service, latency);
            endRequest(held);
        });
    };
    const dispatch = async (
        held: HeldWorker,
        desk: DispatchRequest,
        body: Readable,
    ): Promise<Result<EndpointResponse, PlatformError>> => {
        const startedAt = performance.now();
        const answer = await platform.endpoints.dispatch(held.worker, {
            service: desk.service,
            method: desk.method,
            path: desk.path,
            headers: desk.headers,
            body,
            fence: held.fence,
            signal: desk.signal,
        });
        if (answer.isOk) {
            watchBody(held, desk.service, answer.value, startedAt);
        }
        else if (answer.error.kind === "unknown") {
            keepUntilInventory(held);
        }
        else {
            noteRefusal(held, answer.error);
            endRequest(held);
        }
        return answer;
    };
    const noteRefusal = (held: HeldWorker, error: PlatformError): void => {
        if (error.code === "leaving") {
            held.isLeaving = true;
            scheduler.setUsable(held.worker.id, false);
            return;
        }
        if (error.kind === "unavailable" || error.code?.startsWith("stale-fence") === true) {
            held.needsAdoption = true;
            scheduler.setUsable(held.worker.id, false);
        }
    };
    return {
        serve: async desk => {
            for (let attempt = 0; attempt < dispatchAttempts; attempt += 1) {
                const held = await waitForSlot(desk);
                if (held.isErr) {
                    return Result.err(held.error);
                }
                const body = desk.body.open();
                if (body === undefined) {
                    // Too long to be kept: what an endpoint has read of it can't be sent to another one.
                    endRequest(held.value);
                    return Result.err("no-endpoint");
                }
                const answer = await dispatch(held.value, desk, body);
                if (answer.isOk) {
                    return Result.ok(answer.value);
                }
                if (answer.error.kind === "unknown") {
                    const isLate = performance.now() >= desk.deadline;
                    return Result.err(isLate ? "deadline-passed" : "outcome-unknown");
                }
            }
            return Result.err("no-endpoint");
        },
        freeSlots,
        queued: queue.length,
        admitWaiting: pump,
        close: queue.close,
    };
};
