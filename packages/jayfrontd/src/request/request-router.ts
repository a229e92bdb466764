import type { Readable } from "node:stream";

import type { RetryBudget } from "@jayfront/policy";
import { createByteBudget, createRetryBudget } from "@jayfront/policy";
import type { CellId, Environment, Host, ServiceId } from "@jayfront/world";
import { cellId, createStopSignal } from "@jayfront/world";
import type { Logger } from "pino";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

import type { CellManager } from "../cell/cell-manager.js";
import type { DispatchRefusal } from "../cell/request-dispatcher.js";
import type { CallerRequest, CallerResponse, HeaderFields } from "../http/exchange.js";
import type { ProblemName } from "../http/problem.js";
import { problem, problemHeader } from "../http/problem.js";
import { resultHeader } from "../http/request-result.js";
import type { Metrics } from "../metrics.js";
import type { Membership } from "../peer/membership.js";
import type { PeerNetwork } from "../peer/peer-network.js";
import type { Settings } from "../settings.js";
import { countBody } from "../util/count-body.js";
import { createReplayableBody } from "../util/replayable-body.js";
import { createAtMostOnceHandler } from "./at-most-once-handler.js";
import type { RequestIntents } from "./request-intents.js";
import type { RoutedRequest, ServiceDeclaration } from "./routed-request.js";
import { firstHeaderValue, resultOf } from "./routed-request.js";
import type { Target } from "./target-chooser.js";
import { createTargetChooser } from "./target-chooser.js";
import { createTeamRateLimiter } from "./team-rate-limiter.js";

/** Routes callers' requests to endpoints: by a cell that this host holds, or by another entry host. */
export interface RequestRouter {
    /** Serves a caller's request below `/services/`. */
    readonly serve: (request: CallerRequest) => Promise<CallerResponse>;
    /** Serves a request below `/internal/` that another entry host has forwarded. */
    readonly serveForwarded: (request: CallerRequest) => Promise<CallerResponse>;
    /** Number of requests that this host handles now. */
    readonly inFlight: () => number;
}

/** Options of {@link createRequestRouter}. */
export interface RequestRouterOptions {
    readonly self: Host;
    readonly environment: () => Environment | undefined;
    readonly membership: Membership;
    readonly cellManager: CellManager;
    readonly network: PeerNetwork;
    readonly intents: RequestIntents;
    readonly limits: Settings["limits"];
    readonly metrics: Metrics;
    readonly logger: Logger;
    readonly random: RandomGenerator;
}

const maxAttempts = 3;
/** A caller's request may be forwarded to another failure domain, and there to the holder of a cell. */
const maxHops = 2;
const deadlineHeader = "x-jayfront-deadline-ms";
const forwardedPath = /^\/internal\/(cell\/([^/]+)\/(\d+)|domain)\/(\d)\/services\/([^/?]+)(.*)$/;
const callerPath = /^\/services\/([^/?]+)(.*)$/;
const safeMethods: readonly string[] = ["GET", "HEAD", "OPTIONS"];
/** Headers that are not passed on: those of a single connection, and those that each host sets itself. */
const hopByHopHeaders: readonly string[] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "te",
    "trailer",
    "proxy-connection",
    "expect",
    "host",
    deadlineHeader,
    "x-jayfront-peer",
    resultHeader,
    problemHeader,
];

const endToEndHeaders = (headers: HeaderFields): HeaderFields =>
    Object.fromEntries(Object.entries(headers).filter(([name]) => !hopByHopHeaders.includes(name)));

/** Creates a router without requests in flight. */
export const createRequestRouter = (options: RequestRouterOptions): RequestRouter => {
    const {
        self,
        environment,
        membership,
        cellManager,
        network,
        intents,
        limits,
        metrics,
        logger,
        random,
    } = options;
    const teamRateLimiter = createTeamRateLimiter(() => environment()?.document.limits.requestsPerTeam ?? Infinity);
    const regionBudget = createByteBudget(() => environment()?.document.limits.regionBytes ?? 0);
    const targets = createTargetChooser({
        self,
        environment,
        membership,
        cellManager,
        regionBudget,
        random,
    });
    let budget: RetryBudget = createRetryBudget();
    let budgetShare = 0;
    let inFlight = 0;

    const retryBudget = (): RetryBudget => {
        const share = environment()?.document.limits.retryShare ?? 0;
        if (share !== budgetShare) {
            budgetShare = share;
            budget = createRetryBudget({ share });
        }
        return budget;
    };
    /** Charges the bytes of a request or response body to the region budget if it crosses regions. */
    const chargeBody = (isOtherRegion: boolean, body: Readable): Readable =>
        isOtherRegion ? countBody(body, regionBudget.spend) : body;
    const serveInHeldCell = async (cell: CellId, routed: RoutedRequest): Promise<CallerResponse> => {
        const heldCell = cellManager.heldCell(cell);
        if (heldCell === undefined) {
            return problem("cell-moved");
        }
        const answer = await heldCell.dispatcher.serve({
            service: routed.service,
            method: routed.method,
            path: routed.path === "" ? "/" : routed.path,
            headers: endToEndHeaders(routed.headers),
            body: routed.body,
            deadline: routed.deadline,
            signal: routed.signal,
            queueLimit: routed.declaration.queue,
        });
        if (answer.isErr) {
            return problem(answer.error satisfies DispatchRefusal);
        }
        const { status, headers, body } = answer.value;
        return { status, headers: { ...endToEndHeaders(headers), [resultHeader]: "completed" }, body };
    };
    const forward = async (target: Target, routed: RoutedRequest): Promise<CallerResponse> => {
        const body = routed.body.open();
        if (target.host === undefined || body === undefined) {
            return problem("no-endpoint");
        }
        const isOtherRegion = targets.isOtherRegion(target.host);
        const scope = target.cell === undefined ? "domain" : `cell/${target.cell}`;
        const answer = await network.forward(target.host, {
            method: routed.method,
            path: `/internal/${scope}/${String(routed.hops - 1)}/services/${routed.service}${routed.path}`,
            headers: {
                ...endToEndHeaders(routed.headers),
                [deadlineHeader]: String(Math.max(1, Math.ceil(routed.deadline - performance.now()))),
            },
            body: chargeBody(isOtherRegion, body),
            signal: routed.signal,
        });
        if (answer.isOk) {
            return { ...answer.value, body: chargeBody(isOtherRegion, answer.value.body) };
        }
        const isLate = performance.now() >= routed.deadline;
        return problem(
            answer.error.kind === "not-sent" ? "no-endpoint" : isLate ? "deadline-passed" : "outcome-unknown",
        );
    };
    const sendTo = (target: Target, routed: RoutedRequest): Promise<CallerResponse> => {
        if (target.kind === "held" && target.cell !== undefined) {
            return serveInHeldCell(target.cell, routed);
        }
        if (target.cell !== undefined) {
            targets.recordSent(target.cell);
        }
        return forward(target, routed);
    };
    /** Whether the request may be sent to another target; if so, one retry is withdrawn from the budget. */
    const mayRetry = (response: CallerResponse, routed: RoutedRequest): boolean => {
        const result = resultOf(response);
        const isSafe = result === "not-run" || result === "unknown" && isIdempotent(routed.declaration, routed.method);
        const isWorthwhile = response.status === 503 || response.status === 504;
        return isSafe
            && isWorthwhile
            && routed.body.isReplayable
            && !routed.signal.aborted
            && performance.now() < routed.deadline
            && retryBudget().withdraw();
    };
    const isIdempotent = (declaration: ServiceDeclaration, method: string): boolean =>
        declaration.idempotent || safeMethods.includes(method);
    /**
     * Sends the request to one target after another until it is completed or must not be retried. A later refusal does
     * not replace a response with an unknown result, since the request may have run.
     */
    const tryTargets = async (routed: RoutedRequest, attempts: number): Promise<CallerResponse> => {
        /** Cells that were tried; undefined stands for other failure domains. */
        const tried = new Set<CellId | undefined>();
        let unknownResponse: CallerResponse | undefined;
        let lastResponse = problem("no-endpoint");
        for (let count = 0; count < attempts; count += 1) {
            const target = targets.choose(routed.hops, tried);
            if (target === undefined) {
                break;
            }
            tried.add(target.cell);
            lastResponse = await sendTo(target, routed);
            const result = resultOf(lastResponse);
            if (result === "completed") {
                return lastResponse;
            }
            unknownResponse = result === "unknown" ? lastResponse : unknownResponse;
            if (count + 1 >= attempts || !mayRetry(lastResponse, routed)) {
                break;
            }
            metrics.retries.inc();
        }
        return unknownResponse ?? lastResponse;
    };

    /** Calls `act` with a signal that aborts at `deadline` or together with `callerSignal`. */
    const withDeadline = async (
        callerSignal: AbortSignal,
        deadline: number,
        act: (signal: AbortSignal) => Promise<CallerResponse>,
    ): Promise<CallerResponse> => {
        const stop = createStopSignal(callerSignal);
        const timer = setTimeout(stop.abort, Math.max(0, deadline - performance.now()));
        try {
            // The deadline bounds the wait for the response's headers; its body may take longer.
            return await act(stop.signal);
        }
        finally {
            clearTimeout(timer);
        }
    };
    const serveAtMostOnce = createAtMostOnceHandler({
        intents,
        recordedAnswerBytes: limits.recordedAnswerBytes,
        serve: routed => tryTargets(routed, maxAttempts),
    });
    const recordMetrics = (
        startedAt: number,
        service: string,
        declaration: ServiceDeclaration | undefined,
        response: CallerResponse,
    ): void => {
        const result = resultOf(response);
        if (declaration !== undefined) {
            const seconds = (performance.now() - startedAt) / 1_000;
            metrics.requestSeconds.observe({ team: declaration.team, service, result }, seconds);
        }
        if (response.status >= 400 && result !== "completed") {
            metrics.refusals.inc({ problem: firstHeaderValue(response.headers, problemHeader) ?? "endpoint" });
        }
    };
    /** Counts a request against the team limit; returns the service's declaration, or the problem if it is refused. */
    const admit = (service: string): ServiceDeclaration | ProblemName => {
        const current = environment();
        if (current === undefined) {
            return "not-ready";
        }
        const declaration = current.document.services[service];
        if (declaration === undefined) {
            return "unknown-service";
        }
        if (inFlight >= limits.requests) {
            return "overloaded";
        }
        return teamRateLimiter.admit(declaration.team) ? declaration : "team-limit";
    };
    const readDeadline = (headers: HeaderFields, declaration: ServiceDeclaration): number => {
        const requestedMs = Number(firstHeaderValue(headers, deadlineHeader) ?? declaration.deadlineMs);
        const timeoutMs = Number.isFinite(requestedMs) && requestedMs > 0
            ? Math.min(requestedMs, declaration.deadlineMs)
            : declaration.deadlineMs;
        return performance.now() + timeoutMs;
    };
    /** Counts a request as in flight until the body of its response has closed. */
    const countInFlight = async (act: () => Promise<CallerResponse>): Promise<CallerResponse> => {
        inFlight += 1;
        metrics.requestsInFlight.set(inFlight);
        let response: CallerResponse | undefined;
        try {
            response = await act();
            return response;
        }
        finally {
            const end = (): void => {
                inFlight -= 1;
                metrics.requestsInFlight.set(inFlight);
            };
            if (response === undefined || response.body.closed) {
                end();
            }
            else {
                response.body.once("close", end);
            }
        }
    };
    /** Sets the deadline of a request and buffers the start of its body, then calls `act` to serve it. */
    const serveRouted = async (
        request: CallerRequest,
        { name, path, declaration, hops }: {
            name: string;
            path: string;
            declaration: ServiceDeclaration;
            hops: number;
        },
        act: (routed: RoutedRequest) => Promise<CallerResponse>,
    ): Promise<CallerResponse> => {
        const deadline = readDeadline(request.headers, declaration);
        const body = await createReplayableBody(request.body, limits.replayBytes).catch(() => undefined);
        if (body === undefined) {
            return problem("invalid-request", "the body broke off; send it whole");
        }
        const { method, headers } = request;
        const service = name as ServiceId;
        return withDeadline(
            request.signal,
            deadline,
            signal => act({ service, declaration, method, path, headers, body, deadline, signal, hops }),
        );
    };
    const serveCaller = async (request: CallerRequest): Promise<CallerResponse> => {
        const startedAt = performance.now();
        const [, name, path] = callerPath.exec(request.path) ?? [];
        if (name === undefined || path === undefined) {
            return problem("unknown-path");
        }
        const declaration = admit(name);
        if (typeof declaration === "string") {
            const refusal = problem(declaration);
            recordMetrics(startedAt, name, undefined, refusal);
            return refusal;
        }
        retryBudget().deposit();
        const response = await serveRouted(
            request,
            { name, path, declaration, hops: maxHops },
            routed =>
                isIdempotent(declaration, request.method) ? tryTargets(routed, maxAttempts) : serveAtMostOnce(routed),
        );
        recordMetrics(startedAt, name, declaration, response);
        return response;
    };
    const serveForwarded = async (request: CallerRequest): Promise<CallerResponse> => {
        const [, scope, domain, number, hops, name, path] = forwardedPath.exec(request.path) ?? [];
        const declaration = environment()?.document.services[name ?? ""];
        if (scope === undefined || name === undefined || path === undefined || hops === undefined) {
            return problem("unknown-path");
        }
        if (declaration === undefined) {
            return problem("unknown-service");
        }
        return serveRouted(
            request,
            { name, path, declaration, hops: Number(hops) },
            routed =>
                domain === undefined || number === undefined
                    ? tryTargets(routed, 1)
                    : serveInHeldCell(cellId(domain as Host["failureDomain"], Number(number)), routed),
        );
    };
    return {
        serve: request =>
            countInFlight(() =>
                serveCaller(request).catch((error: unknown) => {
                    logger.error({ error }, "internal error while handling a request");
                    return problem("internal");
                })
            ),
        serveForwarded: request => countInFlight(() => serveForwarded(request)),
        inFlight: () => inFlight,
    };
};
