import type { JobId } from "@jayfront/world";

import type { JobManager } from "../job/job-manager.js";
import type { JobRefusal } from "../job/job-refusal.js";
import { readBody } from "../util/read-body.js";
import type { CallerRequest, CallerResponse } from "./exchange.js";
import { jsonResponse } from "./json-response.js";
import { problem } from "./problem.js";

/** Maximum length of a job specification in bytes. */
const maxBodyBytes = 256 * 1_024;
const keyPattern = /^[\x21-\x7e]{1,128}$/;

const refusalResponse = (refusal: JobRefusal): CallerResponse => problem(refusal.problem, refusal.detail);

const submit = async (jobs: JobManager, request: CallerRequest): Promise<CallerResponse> => {
    const body = await readBody(request.body, maxBodyBytes);
    if (body === undefined) {
        return problem("body-too-large", `a job takes at most ${String(maxBodyBytes)} bytes`);
    }
    const header = request.headers["idempotency-key"];
    const key = typeof header === "string" ? header : undefined;
    if (key !== undefined && !keyPattern.test(key)) {
        return problem("invalid-request", "Idempotency-Key takes 1 to 128 visible characters");
    }
    let value: unknown;
    try {
        value = JSON.parse(body.toString());
    }
    catch {
        return problem("invalid-request", "the body is not JSON");
    }
    const job = await jobs.submit(value, key === undefined ? undefined : encodeURIComponent(key));
    return job.isErr
        ? refusalResponse(job.error)
        : jsonResponse(202, { id: job.value.id, chunks: job.value.chunks.length });
};

/** Handles a request to `/jobs` or a path below it. */
export const serveJobs = async (jobs: JobManager, request: CallerRequest): Promise<CallerResponse> => {
    const [, id, action] = /^\/jobs(?:\/([A-Za-z0-9-]{1,128}))?(?:\/(cancel))?$/.exec(request.path) ?? [];
    if (request.path === "/jobs" && request.method === "POST") {
        return submit(jobs, request);
    }
    if (id !== undefined && action === undefined && request.method === "GET") {
        const status = await jobs.status(id as JobId);
        return status.isErr ? refusalResponse(status.error) : jsonResponse(200, status.value);
    }
    if (id !== undefined && action === "cancel" && request.method === "POST") {
        const cancelled = await jobs.cancel(id as JobId);
        return cancelled.isErr ? refusalResponse(cancelled.error) : jsonResponse(202, { id, cancelled: true });
    }
    return problem("unknown-path");
};
