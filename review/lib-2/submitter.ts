import { request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

import type { EntryHost } from "./hosts.js";
import type { Recorder } from "./recorder.js";

/** Answer of an entry host; status 0 if there is none. */
export interface HostAnswer {
    readonly status: number;
    readonly body: Readonly<Record<string, unknown>>;
    readonly retryAfter: number;
}

/** Submits jobs and asks for their states. */
export interface Submitter {
    /** Submits a job with retries; resolves to its id once it is accepted. */
    readonly submit: (id: string, body: object) => Promise<boolean>;
    /** The state of a job as a host that answers tells it; `absent` for 410, `none` without an answer. */
    readonly state: (id: string) => Promise<string>;
    readonly cancel: (id: string) => Promise<number>;
}

/** Host and prefix of the one queue. */
export const queueHost = "desk.example";
export const queuePrefix = "/plates/";
/** The operator's configuration. */
export const configurationOf = (maxAttempts = 3): object => ({
    version: 3,
    routes: [{
        name: "r-plates",
        host: queueHost,
        pathPrefix: queuePrefix,
        service: "desk",
        priority: 0,
        maxAttempts,
        slackFactor: 2,
        targetLatencyMs: 1_000,
    }],
    services: [{ name: "desk", admissionCheck: true }],
    limits: { bodyBytes: 262_144 },
});

const answerTimeout = 3_000;
const submitAttempts = 5;
const queryAttempts = 8;

/** Calls an entry host as a client does. */
export const callHost = (
    address: string,
    method: string,
    id: string,
    body: object | undefined,
): Promise<HostAnswer> =>
    new Promise(resolve => {
        const [host = "", port = ""] = address.split(":");
        const payload = body === undefined ? undefined : JSON.stringify(body);
        const fail = (): void => {
            resolve({ status: 0, body: {}, retryAfter: 0 });
        };
        const outgoing = request({
            host,
            port: Number(port),
            method,
            path: `${queuePrefix}${id}`,
            agent: false,
            timeout: answerTimeout,
            headers: {
                host: queueHost,
                "x-deadline-ms": String(answerTimeout),
                ...(payload === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(payload) }),
            },
        }, incoming => {
            const parts: Buffer[] = [];
            incoming.on("data", (part: Buffer) => parts.push(part));
            incoming.on("error", fail);
            incoming.on("end", () => {
                const text = Buffer.concat(parts).toString();
                resolve({
                    status: incoming.statusCode ?? 0,
                    body: text.startsWith("{") ? JSON.parse(text) as HostAnswer["body"] : {},
                    retryAfter: Number(incoming.headers["retry-after"] ?? 0),
                });
            });
        });
        outgoing.on("timeout", () => {
            outgoing.destroy();
        });
        outgoing.on("error", fail);
        outgoing.end(payload);
    });

/** Creates clients that use the hosts in turn. */
export const createSubmitter = (hosts: readonly EntryHost[], recorder: Recorder): Submitter => {
    let calls = 0;
    const nextHost = (): EntryHost | undefined => {
        const running = hosts.filter(host => host.isRunning());
        calls += 1;
        return running[calls % running.length];
    };
    const call = async (method: string, id: string, body?: object): Promise<HostAnswer> => {
        const host = nextHost();
        const answer = await callHost(host?.address ?? "", method, id, body);
        recorder.add("client", method, { job: id, host: host?.id, status: answer.status, state: answer.body["state"] });
        return answer;
    };
    return {
        submit: async (id, body) => {
            for (let attempt = 0; attempt < submitAttempts; attempt += 1) {
                const { status, retryAfter } = await call("POST", id, body);
                if (status === 200) {
                    return true;
                }
                await sleep(Math.max(500, retryAfter * 1_000));
            }
            return false;
        },
        state: async id => {
            for (let attempt = 0; attempt < queryAttempts; attempt += 1) {
                const { status, body } = await call("GET", id);
                if (status === 200) {
                    return String(body["state"]);
                }
                if (status === 410) {
                    return "absent";
                }
                await sleep(500);
            }
            return "none";
        },
        cancel: async id => (await call("DELETE", id)).status,
    };
};

/** A step of tasks that each need one place. */
export const stepOf = (count: number, changes: object = {}): object => ({
    count,
    cpu: 1_000,
    memoryRequestMb: 100,
    estimatedMs: 300,
    ...changes,
});
/** The id of the job with this number. */
export const jobId = (number: number): string => number.toString(16).padStart(16, "0");
