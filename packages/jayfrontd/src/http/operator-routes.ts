import type { Environment, JobId } from "@jayfront/world";
import { z } from "zod";

import type { EnvironmentRefusal, EnvironmentStore } from "../environment/environment-store.js";
import type { JobManager } from "../job/job-manager.js";
import type { HostStatus } from "../peer/peer-message.js";
import { readBody } from "../util/read-body.js";
import type { CallerRequest, CallerResponse } from "./exchange.js";
import { jsonResponse } from "./json-response.js";
import { problem } from "./problem.js";

/** What the operator routes depend on. */
export interface OperatorContext {
    readonly environments: EnvironmentStore;
    readonly jobs: JobManager;
    /** Status of every host that replies, and the ids of those that do not. */
    readonly hostStatuses: () => Promise<{ hosts: readonly HostStatus[]; silent: readonly string[]; }>;
    /** Workers of all failure domains, each with its cell. */
    readonly workers: () => readonly unknown[];
    /** Says why tasks of a job have not started, one line for each finding. */
    readonly explainJob: (job: JobId) => Promise<readonly string[]>;
    /** Compares a stored document with the workers on the live list; returns one line for each finding. */
    readonly checkAgainstWorkers: (environment: Environment) => Promise<readonly string[]>;
    /** Maximum length of a request body in bytes. */
    readonly bodyLimit: number;
}

/** Handles a request to one operator route; `parameters` are the capture groups of its path. */
type OperatorRoute = (
    context: OperatorContext,
    parameters: readonly string[],
    request: CallerRequest,
) => Promise<CallerResponse>;

/** Maximum length of an environment document in characters. */
const maxDocumentLength = 1_024 * 1_024;
const storeBodySchema = z.strictObject({ text: z.string().max(maxDocumentLength), base: z.int().min(0) });
const promoteBodySchema = z.strictObject({ from: z.string().max(64), base: z.int().min(0) });
const resolveBodySchema = z.strictObject({
    index: z.int().min(0),
    as: z.enum(["finished", "failed", "run-again"]),
});

const readJson = async (context: OperatorContext, request: CallerRequest): Promise<unknown> => {
    const body = await readBody(request.body, Math.min(context.bodyLimit, 2 * maxDocumentLength));
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
/** Parses the body with `schema` and calls `handle` with it; answers `invalid-request` if it does not match. */
const withParsedBody = async <Schema extends z.ZodType>(
    context: OperatorContext,
    request: CallerRequest,
    schema: Schema,
    handle: (body: z.infer<Schema>) => Promise<CallerResponse>,
): Promise<CallerResponse> => {
    const parsed = schema.safeParse(await readJson(context, request));
    return parsed.success
        ? handle(parsed.data)
        : problem("invalid-request", parsed.error.issues.map(issue => issue.message).join("; "));
};
const environmentRefusalResponse = (refusal: EnvironmentRefusal): CallerResponse => {
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
const storeEnvironment: OperatorRoute = (context, [name = ""], request) =>
    withParsedBody(context, request, storeBodySchema, async ({ text, base }) => {
        const stored = await context.environments.store(name, text, base);
        if (stored.isErr) {
            return environmentRefusalResponse(stored.error);
        }
        const findings = await context.checkAgainstWorkers(stored.value);
        return jsonResponse(200, { version: stored.value.version, findings });
    });
const promoteEnvironment: OperatorRoute = (context, [name = ""], request) =>
    withParsedBody(context, request, promoteBodySchema, async ({ from, base }) => {
        const promoted = await context.environments.promote(from, name, base);
        return promoted.isErr
            ? environmentRefusalResponse(promoted.error)
            : jsonResponse(200, { version: promoted.value.version });
    });
const showHistory: OperatorRoute = async ({ environments }, [name = ""]) => {
    const history = await environments.history(name);
    return history.isErr ? problem("store-unavailable") : jsonResponse(200, history.value);
};
const resolveTask: OperatorRoute = (context, [job = ""], request) =>
    withParsedBody(context, request, resolveBodySchema, async ({ index, as }) => {
        const resolved = await context.jobs.resolve(job as JobId, index, as);
        return resolved.isErr
            ? problem(resolved.error.problem, resolved.error.detail)
            : jsonResponse(202, { job, index, as });
    });
const explainJob: OperatorRoute = async (context, [job = ""]) =>
    jsonResponse(200, { job, lines: await context.explainJob(job as JobId) });

const routes: readonly { method: string; path: RegExp; handle: OperatorRoute; }[] = [
    { method: "GET", path: /^\/operator\/environments\/([a-z0-9-]+)$/, handle: showEnvironment },
    { method: "PUT", path: /^\/operator\/environments\/([a-z0-9-]+)$/, handle: storeEnvironment },
    { method: "POST", path: /^\/operator\/environments\/([a-z0-9-]+)\/promote$/, handle: promoteEnvironment },
    { method: "GET", path: /^\/operator\/environments\/([a-z0-9-]+)\/history$/, handle: showHistory },
    {
        method: "GET",
        path: /^\/operator\/hosts$/,
        handle: async context => jsonResponse(200, await context.hostStatuses()),
    },
    {
        method: "GET",
        path: /^\/operator\/workers$/,
        handle: context => Promise.resolve(jsonResponse(200, context.workers())),
    },
    { method: "POST", path: /^\/operator\/jobs\/([A-Za-z0-9-]+)\/resolve$/, handle: resolveTask },
    { method: "GET", path: /^\/operator\/jobs\/([A-Za-z0-9-]+)\/explain$/, handle: explainJob },
];

/** Handles a request below `/operator/` whose token was already verified. */
export const serveOperator = (context: OperatorContext, request: CallerRequest): Promise<CallerResponse> => {
    for (const route of routes) {
        const match = route.method === request.method ? route.path.exec(request.path) : undefined;
        if (match) {
            return route.handle(context, match.slice(1), request);
        }
    }
    return Promise.resolve(problem("unknown-path"));
};
