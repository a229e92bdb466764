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

/** Why a request got no complete answer; it may have run only if this is `outcome-unknown` or `deadline-passed`. */
export type DispatchRefusal =
    | "overloaded"
    | "deadline-unreachable"
    | "no-endpoint"
    | "cell-moved"
    | "outcome-unknown"
    | "deadline-passed";

/** A request to be dispatched to a worker of the cell. */
export interface DispatchRequest {
    readonly service: ServiceId;
    readonly method: string;
    /** Path and query, relative to the service. */
    readonly path: string;
    readonly headers: HeaderFields;
    readonly body: ReplayableBody;
    /** Aborts when the caller has disconnected or the deadline has passed. */
    readonly signal: AbortSignal;
    /** Monotonic time in milliseconds. */
    readonly deadline: number;
    /** Requests that may wait for a slot at a time. */
    readonly queueLimit: number;
}

/** Queues requests and dispatches them to the workers of a held cell. */
export interface RequestDispatcher {
    /** Waits for a slot and sends the request to its worker; retries if the worker refuses it or can't be reached. */
    readonly serve: (request: DispatchRequest) => Promise<Result<EndpointResponse, DispatchRefusal>>;
    /** Slots of usable workers that no request takes. */
    readonly freeSlots: () => number;
    /** Requests that wait for a slot. */
    readonly queued: () => number;
    /** Admits waiting requests to slots that have become free. */
    readonly admitWaiting: () => void;
    /** Refuses the waiting requests and all that would have to wait; requests in flight continue. */
    readonly close: () => void;
}

/** Attempts to send one request, each after an endpoint has refused it or could not be reached. */
const maxDispatchAttempts = 3;

const refusalOfQueue: Record<QueueRefusal, DispatchRefusal> = {
    "queue-full": "overloaded",
    "deadline-unreachable": "deadline-unreachable",
    "deadline-passed": "deadline-unreachable",
    cancelled: "deadline-unreachable",
    closed: "cell-moved",
};

/** Creates the dispatcher for the workers of a held cell. */
export const createRequestDispatcher = (context: CellContext): RequestDispatcher => {
    const { workers, platform, scheduler, guard } = context;
    const isUsable = (held: HeldWorker): boolean =>
        held.wasAdopted && held.isReachable && !held.needsAdoption && !held.isDraining;
    const usableWorkers = (): readonly HeldWorker[] => [...workers.values()].filter(isUsable);
    const freeSlots = (): number =>
        usableWorkers().reduce((sum, held) => sum + Math.max(0, held.account.freeSlots()), 0);
    const totalSlots = (): number => usableWorkers().reduce((sum, held) => sum + held.worker.slots, 0);
    const queue: RequestQueue<HeldWorker> = createRequestQueue<HeldWorker>({ slots: totalSlots });

    let rotation = 0;
    /** Takes a slot on the worker with the most free slots; equal workers take turns, which spreads a light load. */
    const takeSlot = (): HeldWorker | undefined => {
        const all = usableWorkers();
        rotation += 1;
        let best: HeldWorker | undefined;
        for (const offset of all.keys()) {
            const held = all[(rotation + offset) % all.length];
            if (held !== undefined && held.account.freeSlots() > (best?.account.freeSlots() ?? 0)) {
                best = held;
            }
        }
        return best?.account.admitRequest() === true ? best : undefined;
    };
    const admitWaiting = (): void => {
        queue.admitWaiting(takeSlot);
    };
    const endRequest = (held: HeldWorker): void => {
        held.account.endRequest();
        admitWaiting();
    };
    const retainSlotUntilInventory = (held: HeldWorker): void => {
        held.unsettledRequests += 1;
        held.needsAdoption = true;
        scheduler.setUsable(held.worker.id, false);
    };
    const waitForSlot = async (request: DispatchRequest): Promise<Result<HeldWorker, DispatchRefusal>> => {
        const held = queue.length() === 0 ? takeSlot() : undefined;
        if (held !== undefined) {
            return Result.ok(held);
        }
        if (usableWorkers().length === 0) {
            return Result.err("no-endpoint");
        }
        // A request that waits longer than the service's latency target allows would miss it, so it is refused early.
        const latestStart = Math.min(request.deadline, performance.now() + guard.allowedWait(request.service));
        const answer = await queue.wait(latestStart, request.queueLimit, request.signal);
        return answer.mapErr(refusal => refusalOfQueue[refusal]);
    };
    /** Records the latency and releases the slot when the answer's body has ended. */
    const releaseOnClose = (
        held: HeldWorker,
        service: ServiceId,
        response: EndpointResponse,
        startedAt: number,
    ): void => {
        response.body.once("close", () => {
            const latency = performance.now() - startedAt;
            queue.recordServiceTime(latency);
            guard.recordRequest(held.worker.id, service, latency);
            endRequest(held);
        });
    };
    const dispatch = async (
        held: HeldWorker,
        request: DispatchRequest,
        body: Readable,
    ): Promise<Result<EndpointResponse, PlatformError>> => {
        const startedAt = performance.now();
        const answer = await platform.endpoints.dispatch(held.worker, {
            service: request.service,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body,
            fence: held.fence,
            signal: request.signal,
        });
        if (answer.isOk) {
            releaseOnClose(held, request.service, answer.value, startedAt);
        }
        else if (answer.error.kind === "unknown") {
            retainSlotUntilInventory(held);
        }
        else {
            applyRefusal(held, answer.error);
            endRequest(held);
        }
        return answer;
    };
    const applyRefusal = (held: HeldWorker, error: PlatformError): void => {
        if (error.code === "leaving") {
            held.isDraining = true;
            scheduler.setUsable(held.worker.id, false);
            return;
        }
        if (error.kind === "unavailable" || error.code?.startsWith("stale-fence") === true) {
            held.needsAdoption = true;
            scheduler.setUsable(held.worker.id, false);
        }
    };
    return {
        serve: async request => {
            for (let attempt = 0; attempt < maxDispatchAttempts; attempt += 1) {
                const slot = await waitForSlot(request);
                if (slot.isErr) {
                    return Result.err(slot.error);
                }
                const body = request.body.open();
                if (body === undefined) {
                    // The body was too large to be buffered, and what an endpoint has read of it can't be sent again.
                    endRequest(slot.value);
                    return Result.err("no-endpoint");
                }
                const answer = await dispatch(slot.value, request, body);
                if (answer.isOk) {
                    return Result.ok(answer.value);
                }
                if (answer.error.kind === "unknown") {
                    const isLate = performance.now() >= request.deadline;
                    return Result.err(isLate ? "deadline-passed" : "outcome-unknown");
                }
            }
            return Result.err("no-endpoint");
        },
        freeSlots,
        queued: queue.length,
        admitWaiting,
        close: queue.close,
    };
};
