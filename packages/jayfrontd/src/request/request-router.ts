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

/** Routes callers' requests to endpoints: to a cell held here, or by one hop to the holder. */
export interface RequestRouter {
    /** Serves a caller's request below `/services/`. */
    readonly serve: (request: CallerRequest) => Promise<CallerResponse>;
    /** Serves a request that another entry host forwarded below `/internal/`. */
    readonly serveForwarded: (request: CallerRequest) => Promise<CallerResponse>;
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

const triesPerRequest = 3;
/** A caller's request may go to another failure domain and there to the cell's holder. */
const hopsOfCaller = 2;
const deadlineHeader = "x-jayfront-deadline-ms";
const forwardedPath = /^\/internal\/(cell\/([^/]+)\/(\d+)|domain)\/(\d)\/services\/([^/?]+)(.*)$/;
const callerPath = /^\/services\/([^/?]+)(.*)$/;
const safeMethods: readonly string[] = ["GET", "HEAD", "OPTIONS"];
const hopHeaders: readonly string[] = [
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

const passHeaders = (headers: HeaderFields): HeaderFields =>
    Object.fromEntries(Object.entries(headers).filter(([name]) => !hopHeaders.includes(name)));

/** Creates the router. */
export const createRequestRouter = (options: RequestRouterOptions): RequestRouter => {
    const { self, environment, membership, cellManager: warden, network, intents, limits, metrics, logger, random } =
        options;
    const teamLimit = createTeamRateLimiter(() => environment()?.document.limits.requestsPerTeam ?? Infinity);
    const regionBudget = createByteBudget(() => environment()?.document.limits.regionBytes ?? 0);
    const targets = createTargetChooser({ self, environment, membership, cellManager: warden, regionBudget, random });
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
    /** Counts what a request to another region takes of the budget, both ways. */
    const countIf = (isFar: boolean, body: Readable): Readable => isFar ? countBody(body, regionBudget.spend) : body;
    const serveHeld = async (cell: CellId, passage: RoutedRequest): Promise<CallerResponse> => {
        const held = warden.heldCell(cell);
        if (held === undefined) {
            return problem("cell-moved");
        }
        const answer = await held.dispatcher.serve({
            service: passage.service,
            method: passage.method,
            path: passage.path === "" ? "/" : passage.path,
            headers: passHeaders(passage.headers),
            body: passage.body,
            deadline: passage.deadline,
            signal: passage.signal,
            queueLimit: passage.declaration.queue,
        });
        if (answer.isErr) {
            return problem(answer.error satisfies DispatchRefusal);
        }
        const { status, headers, body } = answer.value;
        return { status, headers: { ...passHeaders(headers), [resultHeader]: "completed" }, body };
    };
    const forward = async (target: Target, passage: RoutedRequest): Promise<CallerResponse> => {
        const body = passage.body.open();
        if (target.host === undefined || body === undefined) {
            return problem("no-endpoint");
        }
        const isFar = targets.isOtherRegion(target.host);
        const place = target.cell === undefined ? "domain" : `cell/${target.cell}`;
        const answer = await network.forward(target.host, {
            method: passage.method,
            path: `/internal/${place}/${String(passage.hops - 1)}/services/${passage.service}${passage.path}`,
            headers: {
                ...passHeaders(passage.headers),
                [deadlineHeader]: String(Math.max(1, Math.ceil(passage.deadline - performance.now()))),
            },
            body: countIf(isFar, body),
            signal: passage.signal,
        });
        if (answer.isOk) {
            return { ...answer.value, body: countIf(isFar, answer.value.body) };
        }
        const isLate = performance.now() >= passage.deadline;
        return problem(
            answer.error.kind === "not-sent" ? "no-endpoint" : isLate ? "deadline-passed" : "outcome-unknown",
        );
    };
    const attempt = (target: Target, passage: RoutedRequest): Promise<CallerResponse> => {
        if (target.kind === "held" && target.cell !== undefined) {
            return serveHeld(target.cell, passage);
        }
        if (target.cell !== undefined) {
            targets.recordSent(target.cell);
        }
        return forward(target, passage);
    };
    const mayRetry = (response: CallerResponse, passage: RoutedRequest): boolean => {
        const result = resultOf(response);
        const isSafe = result === "not-run"
            || result === "unknown" && isIdempotent(passage.declaration, passage.method);
        const isWorthwhile = response.status === 503 || response.status === 504;
        return isSafe
            && isWorthwhile
            && passage.body.isReplayable
            && !passage.signal.aborted
            && performance.now() < passage.deadline
            && retryBudget().withdraw();
    };
    const isIdempotent = (declared: ServiceDeclaration, method: string): boolean =>
        declared.idempotent || safeMethods.includes(method);
    /** Tries targets until one answers for good. An unknown outcome is never covered up by a later refusal. */
    const tryTargets = async (passage: RoutedRequest, tries: number): Promise<CallerResponse> => {
        const tried = new Set<CellId | undefined>();
        let unknown: CallerResponse | undefined;
        let last = problem("no-endpoint");
        for (let count = 0; count < tries; count += 1) {
            const target = targets.choose(passage.hops, tried);
            if (target === undefined) {
                break;
            }
            tried.add(target.cell);
            last = await attempt(target, passage);
            const result = resultOf(last);
            if (result === "completed") {
                return last;
            }
            unknown = result === "unknown" ? last : unknown;
            if (count + 1 >= tries || !mayRetry(last, passage)) {
                break;
            }
            metrics.retries.inc();
        }
        return unknown ?? last;
    };

    const withDeadline = async (
        caller: AbortSignal,
        deadline: number,
        act: (signal: AbortSignal) => Promise<CallerResponse>,
    ): Promise<CallerResponse> => {
        const stop = createStopSignal(caller);
        const timer = setTimeout(stop.abort, Math.max(0, deadline - performance.now()));
        try {
            // The deadline bounds the wait for the answer's head; the body may take longer.
            return await act(stop.signal);
        }
        finally {
            clearTimeout(timer);
        }
    };
    const serveOnce = createAtMostOnceHandler({
        intents,
        recordedAnswerBytes: limits.recordedAnswerBytes,
        serve: passage => tryTargets(passage, triesPerRequest),
    });
    const observe = (
        startedAt: number,
        service: string,
        declared: ServiceDeclaration | undefined,
        response: CallerResponse,
    ): void => {
        const result = resultOf(response);
        if (declared !== undefined) {
            const seconds = (performance.now() - startedAt) / 1_000;
            metrics.requestSeconds.observe({ team: declared.team, service, result }, seconds);
        }
        if (response.status >= 400 && result !== "completed") {
            metrics.refusals.inc({ problem: firstHeaderValue(response.headers, problemHeader) ?? "endpoint" });
        }
    };
    const admit = (service: string): ServiceDeclaration | ProblemName => {
        const current = environment();
        if (current === undefined) {
            return "not-ready";
        }
        const declared = current.document.services[service];
        if (declared === undefined) {
            return "unknown-service";
        }
        if (inFlight >= limits.requests) {
            return "overloaded";
        }
        return teamLimit.admit(declared.team) ? declared : "team-limit";
    };
    const readDeadline = (headers: HeaderFields, declared: ServiceDeclaration): number => {
        const asked = Number(firstHeaderValue(headers, deadlineHeader) ?? declared.deadlineMs);
        const length = Number.isFinite(asked) && asked > 0 ? Math.min(asked, declared.deadlineMs) : declared.deadlineMs;
        return performance.now() + length;
    };
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
    /** Reads the body and sets the deadline, then lets `act` bring the answer. */
    const pass = async (
        request: CallerRequest,
        { name, path, declared, hops }: { name: string; path: string; declared: ServiceDeclaration; hops: number; },
        act: (passage: RoutedRequest) => Promise<CallerResponse>,
    ): Promise<CallerResponse> => {
        const deadline = readDeadline(request.headers, declared);
        const body = await createReplayableBody(request.body, limits.replayBytes).catch(() => undefined);
        if (body === undefined) {
            return problem("invalid-request", "the body broke off; send it whole");
        }
        const { method, headers } = request;
        const service = name as ServiceId;
        return withDeadline(
            request.signal,
            deadline,
            signal => act({ service, declaration: declared, method, path, headers, body, deadline, signal, hops }),
        );
    };
    const serveCaller = async (request: CallerRequest): Promise<CallerResponse> => {
        const startedAt = performance.now();
        const [, name, path] = callerPath.exec(request.path) ?? [];
        if (name === undefined || path === undefined) {
            return problem("unknown-path");
        }
        const declared = admit(name);
        if (typeof declared === "string") {
            const refusal = problem(declared);
            observe(startedAt, name, undefined, refusal);
            return refusal;
        }
        retryBudget().deposit();
        const response = await pass(
            request,
            { name, path, declared, hops: hopsOfCaller },
            passage =>
                isIdempotent(declared, request.method) ? tryTargets(passage, triesPerRequest) : serveOnce(passage),
        );
        observe(startedAt, name, declared, response);
        return response;
    };
    const serveForwarded = async (request: CallerRequest): Promise<CallerResponse> => {
        const [, place, domain, number, hops, name, path] = forwardedPath.exec(request.path) ?? [];
        const declared = environment()?.document.services[name ?? ""];
        if (place === undefined || name === undefined || path === undefined || hops === undefined) {
            return problem("unknown-path");
        }
        if (declared === undefined) {
            return problem("unknown-service");
        }
        return pass(
            request,
            { name, path, declared, hops: Number(hops) },
            passage =>
                domain === undefined || number === undefined
                    ? tryTargets(passage, 1)
                    : serveHeld(cellId(domain as Host["failureDomain"], Number(number)), passage),
        );
    };
    return {
        serve: request =>
            countInFlight(() =>
                serveCaller(request).catch((error: unknown) => {
                    logger.error({ error }, "a request met an error of jayfrontd");
                    return problem("internal");
                })
            ),
        serveForwarded: request => countInFlight(() => serveForwarded(request)),
        inFlight: () => inFlight,
    };
};
