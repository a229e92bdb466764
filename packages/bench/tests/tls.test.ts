import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request } from "node:https";
import { tmpdir } from "node:os";
import { join } from "node:path";

import type { RunningHost } from "@jayfront/jayfrontd";
import { runHost, settingsSchema } from "@jayfront/jayfrontd";
import type { PlatformServer } from "@jayfront/platform-stand-in";
import { runPlatformServer, standInSettings } from "@jayfront/platform-stand-in";
import { sleep } from "@jayfront/world";
import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import pino from "pino";
import { generate } from "selfsigned";

import { smallDocument } from "../src/cluster/small-environment.js";
import { findFreePorts } from "../src/util/find-free-ports.js";
import { waitUntil } from "../src/util/wait-until.js";

const token = "tls-test-operator-token";
const ipAddressNameType = 7;
const maxAttempts = 5;
const retryDelayMs = 300;

/** Self-signed certificate that all hosts of the test present, and trust as the authority. */
const certificate = generate([{ name: "commonName", value: "jayfront-test" }], {
    keySize: 2_048,
    extensions: [{ name: "subjectAltName", altNames: [{ type: ipAddressNameType, ip: "127.0.0.1" }] }],
});

const call = (
    address: string,
    method: string,
    path: string,
    body = "",
    withCertificate = false,
): Promise<[number, string]> =>
    new Promise((resolve, reject) => {
        const outgoing = request(`https://${address}${path}`, {
            method,
            ca: certificate.cert,
            agent: false,
            headers: { authorization: `Bearer ${token}` },
            ...(withCertificate ? { cert: certificate.cert, key: certificate.private } : {}),
        }, response => {
            let text = "";
            response.on("data", (part: Buffer) => {
                text += part.toString();
            });
            response.on("end", () => {
                resolve([response.statusCode ?? 0, text]);
            });
        });
        outgoing.on("error", reject);
        outgoing.end(body);
    });

/**
 * Requests the service `render`. A request is refused, as not run, while no endpoint is free: it is repeated with
 * growing delays until it succeeds, up to {@link maxAttempts} times.
 */
const requestRender = async (address: string): Promise<[number, string]> => {
    let response: [number, string] = [0, ""];
    for (let attempt = 0; attempt < maxAttempts && response[0] !== 200; attempt += 1) {
        await sleep(attempt * retryDelayMs);
        response = await call(address, "POST", "/services/render/x", "proof");
    }
    return response;
};

describe("two hosts that use TLS for callers and peers", () => {
    let folder = "";
    let platform: PlatformServer;
    const running: RunningHost[] = [];
    const addresses: string[] = [];
    const peerAddresses: string[] = [];

    beforeAll(async () => {
        folder = await mkdtemp(join(tmpdir(), "jayfront-tls-"));
        const [certificateFile, keyFile] = [join(folder, "cert.pem"), join(folder, "key.pem")];
        await writeFile(certificateFile, certificate.cert);
        await writeFile(keyFile, certificate.private);
        platform = await runPlatformServer(standInSettings.parse({
            listLag: 0,
            workers: [{ failureDomain: "east-a", count: 6, cores: 16, memory: 64 }],
            hidden: {
                services: { render: { median: 20, spread: 1.5 } },
                reserved: { cores: 3, memory: 12 },
            },
        }));
        const ports = await findFreePorts(4);
        for (const number of [0, 1]) {
            const address = `127.0.0.1:${String(ports[number])}`;
            const peerAddress = `127.0.0.1:${String(ports[number + 2])}`;
            addresses.push(address);
            peerAddresses.push(peerAddress);
            const settings = settingsSchema.parse({
                host: { id: `east-a-${String(number + 1)}`, failureDomain: "east-a", address, peerAddress },
                platform: { address: platform.address },
                security: {
                    peerKey: "tls-test-peer-key-0123456789abcdefgh",
                    operatorTokens: [token],
                    tls: { certificateFile, keyFile, authorityFile: certificateFile },
                },
                timing: { drainNotice: 50 },
            });
            running.push(await runHost(settings, pino({ level: "silent" })));
        }
        const [first = ""] = addresses;
        await call(first, "PUT", "/operator/environments/trial", JSON.stringify({ text: smallDocument, base: 0 }));
        await call(
            first,
            "POST",
            "/operator/environments/production/promote",
            JSON.stringify({ from: "trial", base: 0 }),
        );
    });
    afterAll(async () => {
        await Promise.all(running.map(host => host.stop()));
        await platform.close();
        await rm(folder, { recursive: true });
    });

    it("share the cells and forward requests to each other", async () => {
        // The first host hands over cells once it has discovered the second one.
        await waitUntil("both hosts to hold their cells with all workers", 20_000, async () => {
            const heldCells = running.map(({ host }) => host.status().cells);
            const workersHeld = heldCells.flat().reduce((sum, cell) => sum + cell.workers, 0);
            const isShared = heldCells.every(cells => cells.some(cell => cell.workers > 0)) && workersHeld === 6;
            const responses = await Promise.all(
                addresses.map(address => call(address, "POST", "/services/render/x", "proof")),
            );
            return isShared && responses.every(([status]) => status === 200);
        });
        const responses: [number, string][] = [];
        for (let number = 0; number < 40; number += 1) {
            responses.push(await requestRender(addresses[number % 2] ?? ""));
        }
        expect(responses.filter(([status, body]) => status !== 200 || !body.endsWith(" proof"))).toEqual([]);
        const workers = new Set(responses.map(([, body]) => body.split(" ")[0]));
        expect(workers.size).toBeGreaterThan(3);
        const linkMetrics = await Promise.all(
            running.map(({ host }) => host.metrics.registry.getSingleMetricAsString("jayfront_link_bytes_total")),
        );
        expect(linkMetrics.join("\n")).toMatch(/purpose="request"\} [1-9]/);
    });

    it("reject a peer without a certificate", async () => {
        await expect(call(peerAddresses[0] ?? "", "GET", "/internal/x")).rejects.toThrow();
        expect((await call(peerAddresses[0] ?? "", "GET", "/internal/x", "", true))[0]).toBe(401);
    });
});
