import type { Environment, JobId } from "@jayfront/world";
import { z } from "zod";

import type { EnvironmentRefusal, EnvironmentStore } from "../environment/environment-store.js";
import type { JobManager } from "../job/job-manager.js";
import type { HostStatus } from "../peer/peer-message.js";
import { readBody } from "../util/read-body.js";
import type { CallerRequest, CallerResponse } from "./exchange.js";
import { jsonResponse } from "./json-response.js";
import { problem } from "./problem.js";

/** What the operators' routes use. */
export interface OperatorContext {
    readonly environments: EnvironmentStore;
    readonly jobs: JobManager;
    /** Status of every host that answers, and the ids of those that don't. */
    readonly hostStatuses: () => Promise<{ hosts: readonly HostStatus[]; silent: readonly string[]; }>;
    readonly workers: () => readonly unknown[];
    readonly explainJob: (job: JobId) => Promise<readonly string[]>;
    readonly checkAgainstWorkers: (environment: Environment) => Promise<readonly string[]>;
    readonly bodyLimit: number;
}

/** Answers one operators' route; `parts` are the path's groups. */
type OperatorRoute = (
    services: OperatorContext,
    parts: readonly string[],
    request: CallerRequest,
) => Promise<CallerResponse>;

const documentLimit = 1_024 * 1_024;
const storeBody = z.strictObject({ text: z.string().max(documentLimit), base: z.int().min(0) });
const promoteBody = z.strictObject({ from: z.string().max(64), base: z.int().min(0) });
const resolveBody = z.strictObject({
    index: z.int().min(0),
    as: z.enum(["finished", "failed", "run-again"]),
});

const readJson = async (services: OperatorContext, request: CallerRequest): Promise<unknown> => {
    const body = await readBody(request.body, Math.min(services.bodyLimit, 2 * documentLimit));
    if (body === undefined) {
        return undefined;
    }
    try {
        return JSON.parse(body.toString()) as unknown;
    }
    catch {
        return undefined;
    }
};
const withBody = async <Schema extends z.ZodType>(
    services: OperatorContext,
    request: CallerRequest,
    schema: Schema,
    act: (body: z.infer<Schema>) => Promise<CallerResponse>,
): Promise<CallerResponse> => {
    const parsed = schema.safeParse(await readJson(services, request));
    return parsed.success
        ? act(parsed.data)
        : problem("invalid-request", parsed.error.issues.map(issue => issue.message).join("; "));
};
const refuseEnvironment = (refusal: EnvironmentRefusal): CallerResponse => {
    if (refusal.kind === "invalid") {
        return problem("invalid-request", "the document has mistakes", { mistakes: refusal.mistakes });
    }
    if (refusal.kind === "conflict") {
        const { currentVersion, changedFields } = refusal;
        return problem(
            "conflict",
            `version ${String(currentVersion)} stands now; changed: ${changedFields.join(", ") || "nothing"}`,
            { currentVersion, changedFields },
        );
    }
    return problem(refusal.error.kind === "unknown" ? "store-unknown" : "store-unavailable", refusal.error.message);
};

const showEnvironment: OperatorRoute = async ({ environments }, [name = ""]) => {
    const environment = await environments.read(name);
    if (environment.isErr) {
        return problem("store-unavailable");
    }
    return environment.value === undefined
        ? problem("unknown-environment", name)
        : jsonResponse(200, environment.value);
};
const storeEnvironment: OperatorRoute = (services, [name = ""], request) =>
    withBody(services, request, storeBody, async ({ text, base }) => {
        const stored = await services.environments.store(name, text, base);
        if (stored.isErr) {
            return refuseEnvironment(stored.error);
        }
        const findings = await services.checkAgainstWorkers(stored.value);
        return jsonResponse(200, { version: stored.value.version, findings });
    });
const promoteEnvironment: OperatorRoute = (services, [name = ""], request) =>
    withBody(services, request, promoteBody, async ({ from, base }) => {
        const promoted = await services.environments.promote(from, name, base);
        return promoted.isErr
            ? refuseEnvironment(promoted.error)
            : jsonResponse(200, { version: promoted.value.version });
    });
const showHistory: OperatorRoute = async ({ environments }, [name = ""]) => {
    const history = await environments.history(name);
    return history.isErr ? problem("store-unavailable") : jsonResponse(200, history.value);
};
const resolveTask: OperatorRoute = (services, [job = ""], request) =>
    withBody(services, request, resolveBody, async ({ index, as }) => {
        const resolved = await services.jobs.resolve(job as JobId, index, as);
        return resolved.isErr
            ? problem(resolved.error.problem, resolved.error.detail)
            : jsonResponse(202, { job, index, as });
    });
const explainJob: OperatorRoute = async (services, [job = ""]) =>
    jsonResponse(200, { job, lines: await services.explainJob(job as JobId) });

/** Operators' routes by method and path. */
const routes: readonly { method: string; path: RegExp; answer: OperatorRoute; }[] = [
    { method: "GET", path: /^\/operator\/environments\/([a-z0-9-]+)$/, answer: showEnvironment },
    { method: "PUT", path: /^\/operator\/environments\/([a-z0-9-]+)$/, answer: storeEnvironment },
    { method: "POST", path: /^\/operator\/environments\/([a-z0-9-]+)\/promote$/, answer: promoteEnvironment },
    { method: "GET", path: /^\/operator\/environments\/([a-z0-9-]+)\/history$/, answer: showHistory },
    {
        method: "GET",
        path: /^\/operator\/hosts$/,
        answer: async services => jsonResponse(200, await services.hostStatuses()),
    },
    {
        method: "GET",
        path: /^\/operator\/workers$/,
        answer: services => Promise.resolve(jsonResponse(200, services.workers())),
    },
    { method: "POST", path: /^\/operator\/jobs\/([A-Za-z0-9-]+)\/resolve$/, answer: resolveTask },
    { method: "GET", path: /^\/operator\/jobs\/([A-Za-z0-9-]+)\/explain$/, answer: explainJob },
];

/** Answers a request below `/operator/`; its token has been checked. */
export const serveOperator = (services: OperatorContext, request: CallerRequest): Promise<CallerResponse> => {
    for (const route of routes) {
        const found = route.method === request.method ? route.path.exec(request.path) : undefined;
        if (found) {
            return route.answer(services, found.slice(1), request);
        }
    }
    return Promise.resolve(problem("unknown-path"));
};
