import { connect } from "node:net";

import type { RunningHost } from "@jayfront/jayfrontd";
import { runHost, settingsSchema } from "@jayfront/jayfrontd";
import type { PlatformServer } from "@jayfront/platform-stand-in";
import { runPlatformServer, standInSettings } from "@jayfront/platform-stand-in";
import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import pino from "pino";
import { WebSocket } from "ws";

import { smallDocument } from "../src/cluster/small-environment.js";
import { callJson } from "../src/util/call-json.js";
import { findFreePorts } from "../src/util/find-free-ports.js";
import { waitUntil } from "../src/util/wait-until.js";

const token = "host-ports-test-operator-token";
const bodyBytes = 100_000;

describe("an entry host over real sockets", () => {
    let platform: PlatformServer;
    let runningHost: RunningHost;
    let address = "";
    let peerAddress = "";
    const operator = { authorization: `Bearer ${token}` };

    beforeAll(async () => {
        platform = await runPlatformServer(standInSettings.parse({
            listLag: 0,
            workers: [{ failureDomain: "east-a", count: 3, cores: 16, memory: 64 }],
            hidden: {
                services: { render: { median: 20, spread: 1.5 }, email: { median: 20, spread: 1.5 } },
                reserved: { cores: 3, memory: 12 },
            },
        }));
        const [port, peerPort] = await findFreePorts(2);
        address = `127.0.0.1:${String(port)}`;
        peerAddress = `127.0.0.1:${String(peerPort)}`;
        const settings = settingsSchema.parse({
            host: { id: "east-a-1", failureDomain: "east-a", address, peerAddress },
            platform: { address: platform.address },
            security: { peerKey: "host-ports-test-peer-key-0123456789abcdef", operatorTokens: [token] },
            timing: { drainNotice: 50 },
            limits: { bodyBytes },
        });
        runningHost = await runHost(settings, pino({ level: "silent" }));
        await callJson({
            address,
            method: "PUT",
            path: "/operator/environments/trial",
            body: { text: smallDocument, base: 0 },
            headers: operator,
        });
        await callJson({
            address,
            method: "POST",
            path: "/operator/environments/production/promote",
            body: { from: "trial", base: 0 },
            headers: operator,
        });
        await waitUntil("the first request to succeed", 10_000, async () => {
            const response = await callJson({ address, method: "POST", path: "/services/render/x", body: "x" });
            return response.status === 200;
        });
    });
    afterAll(async () => {
        await runningHost.stop();
        await platform.close();
    });

    const requestProblem = async (method: string, path: string, body?: unknown, headers = {}): Promise<unknown> => {
        const response = await callJson({ address, method, path, body, headers });
        return [response.status, response.headers["x-jayfront-problem"], response.headers["x-jayfront-result"]];
    };

    it("serves a request end to end", async () => {
        const response = await callJson({
            address,
            method: "POST",
            path: "/services/render/item?size=2",
            body: "proof",
        });
        expect([response.status, response.headers["x-jayfront-result"]]).toEqual([200, "completed"]);
        expect(response.value).toMatch(/^east-a-w0\d "proof"$/);
    });

    it("answers bad input with typed problems", async () => {
        expect({
            service: await requestProblem("POST", "/services/none/x"),
            path: await requestProblem("GET", "/nowhere"),
            token: await requestProblem("GET", "/operator/hosts"),
            key: await requestProblem("POST", "/services/email/x", "x"),
            job: await requestProblem("POST", "/jobs", { team: "bulk" }),
            count: await requestProblem("POST", "/jobs", { team: "bulk", batchClass: "path", tasks: 1e9 }),
            team: await requestProblem("POST", "/jobs", {
                team: "none",
                batchClass: "path",
                tasks: 1,
                resources: { cores: 1, memory: 1 },
                runTime: 1,
            }),
            never: await requestProblem("POST", "/jobs", {
                team: "bulk",
                batchClass: "path",
                tasks: 1,
                resources: { cores: 99, memory: 1 },
                runTime: 1,
            }),
            document: await requestProblem(
                "PUT",
                "/operator/environments/trial",
                { text: "[teams", base: 1 },
                operator,
            ),
            stale: await requestProblem(
                "PUT",
                "/operator/environments/trial",
                { text: smallDocument, base: 7 },
                operator,
            ),
            large: await requestProblem("POST", "/services/render/x", "x".repeat(bodyBytes + 1)),
            forged:
                (await callJson({ address: peerAddress, method: "POST", path: "/internal/domain/1/services/render/x" }))
                    .status,
        }).toMatchSnapshot();
    });

    it("runs a non-idempotent request once under its idempotency key", async () => {
        const keyedRequest = {
            address,
            method: "POST",
            path: "/services/email/x",
            body: "m",
            headers: { "idempotency-key": "k1" },
        };
        const first = await callJson(keyedRequest);
        const second = await callJson(keyedRequest);
        expect(first.headers["x-jayfront-repeated"]).toBeUndefined();
        expect(second.headers["x-jayfront-repeated"]).toBe("true");
        expect(second.value).toEqual(first.value);
        const other = await callJson({ ...keyedRequest, body: "another caller's" });
        expect([other.status, other.headers["x-jayfront-problem"]]).toEqual([422, "key-reused"]);
    });

    it("accepts a job once under its idempotency key, and no other job under the same key", async () => {
        const body = { team: "bulk", batchClass: "path", tasks: 2, resources: { cores: 1, memory: 1 }, runTime: 1 };
        const submit = async (job: object): Promise<unknown> => {
            const headers = { "idempotency-key": "job-key" };
            const response = await callJson({ address, method: "POST", path: "/jobs", body: job, headers });
            return response.status === 202
                ? (response.value as { id: string; }).id
                : response.headers["x-jayfront-problem"];
        };
        const first = await submit(body);
        expect(first).toMatch(/^[0-9a-f-]{36}$/);
        expect(await submit(body)).toBe(first);
        expect(await submit({ ...body, tasks: 3 })).toBe("key-reused");
    });

    it("runs a job with one payload per task", async () => {
        const body = {
            team: "bulk",
            batchClass: "path",
            payloads: ['{"work":0.1}', '{"work":0.1,"failing":1}', '{"work":0.2}'],
            resources: { cores: 1, memory: 1 },
            runTime: 1,
            idempotent: false,
        };
        const submitted = await callJson({ address, method: "POST", path: "/jobs", body });
        const { id } = submitted.value as { id: string; };
        let status: unknown;
        await waitUntil("the job to settle", 20_000, async () => {
            status = (await callJson({ address, method: "GET", path: `/jobs/${id}` })).value;
            return (status as { state: string; }).state === "settled";
        });
        expect(status).toMatchObject({ tasks: 3, finished: 2, failed: 1 });
        const mismatch = await callJson({ address, method: "POST", path: "/jobs", body: { ...body, tasks: 5 } });
        expect(mismatch.status).toBe(400);
    });

    it("keeps serving after truncated bodies, incomplete requests and peers without the key", async () => {
        const send = (to: string, text: string): Promise<void> =>
            new Promise(resolve => {
                const [host, port] = to.split(":");
                const socket = connect(Number(port), host, () => {
                    socket.write(text);
                    setTimeout(() => {
                        socket.destroy();
                    }, 50);
                });
                socket.on("close", () => {
                    resolve();
                });
                socket.on("error", () => undefined);
            });
        await send(address, "POST /services/render/x HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\nhalf");
        await send(address, "GET /services/");
        await send(peerAddress, "garbage\r\n\r\n");
        const closed = await new Promise(resolve => {
            const socket = new WebSocket(`ws://${peerAddress}/peer`);
            socket.on("message", () => {
                socket.send(JSON.stringify({ nonce: "n", code: "0".repeat(64) }));
            });
            socket.on("close", () => {
                resolve(true);
            });
            socket.on("error", () => undefined);
        });
        expect(closed).toBe(true);
        expect((await callJson({ address, method: "POST", path: "/services/render/x", body: "x" })).status).toBe(200);
    });

    it("exposes request histograms by team and service in its metrics", async () => {
        const page = String((await callJson({ address, method: "GET", path: "/metrics" })).value);
        expect(page).toMatch(
            /jayfront_request_seconds_count\{team="quick",service="render",result="completed"\} [1-9]/,
        );
    });
});
