import { once } from "node:events";
import type { RequestListener, Server } from "node:http";
import { createServer } from "node:http";
import { createServer as createTlsServer } from "node:https";

import { createHttpPlatform } from "@jayfront/platform";
import { failureDomainId } from "@jayfront/world";
import type { Logger } from "pino";
import { collectDefaultMetrics } from "prom-client";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import type { EntryHost } from "./entry-host.js";
import { createEntryHost } from "./entry-host.js";
import { guardedServerOptions, guardServer } from "./http/connection-guard.js";
import type { PortLimits } from "./http/connection-limits.js";
import { deriveConnectionLimits } from "./http/connection-limits.js";
import { createExchangeListener } from "./http/exchange-listener.js";
import { createMemoryBudget } from "./http/memory-budget.js";
import { problem } from "./http/problem.js";
import { createRefusalRecorder } from "./http/refusal-recorder.js";
import type { TlsMaterial } from "./http/tls-material.js";
import { readTlsMaterial } from "./http/tls-material.js";
import { createMetrics } from "./metrics.js";
import type { Metrics } from "./metrics.js";
import { createWsNetwork } from "./peer/create-ws-network.js";
import { peerMessageSchema } from "./peer/peer-message.js";
import { createRequestSignature, signatureHeader } from "./peer/request-signature.js";
import { attachPeerServer } from "./peer/ws-peer-server.js";
import type { Settings } from "./settings.js";
import { listen } from "./util/listen.js";

/** An entry host with its sockets open. */
export interface RunningHost {
    readonly host: EntryHost;
    /** Drains the host, then closes all sockets. */
    readonly stop: () => Promise<void>;
}

const createHttpServer = (
    tls: TlsMaterial | undefined,
    needsClientCertificate: boolean,
    limits: PortLimits,
): Server => {
    const options = guardedServerOptions(limits);
    return tls === undefined
        ? createServer(options)
        : createTlsServer({
            ...options,
            ...tls,
            handshakeTimeout: limits.headerTime,
            requestCert: needsClientCertificate,
            rejectUnauthorized: needsClientCertificate,
        });
};
const closeServer = (server: Server): Promise<void> =>
    new Promise(resolve => {
        server.close(() => {
            resolve();
        });
        server.closeIdleConnections();
        // Closes connections that are still busy after 1 s.
        setTimeout(() => {
            server.closeAllConnections();
        }, 1_000).unref();
    });

/** Starts an entry host and serves its address for callers and its address for peers; rejects if one can't be bound. */
export const runHost = async (settings: Settings, logger: Logger): Promise<RunningHost> => {
    const tls = await readTlsMaterial(settings);
    const metrics: Metrics = createMetrics();
    collectDefaultMetrics({ register: metrics.registry });
    const signature = createRequestSignature(settings.security.peerKey);
    const network = createWsNetwork({
        self: settings.host,
        peerKey: settings.security.peerKey,
        signature,
        tls,
        metrics,
    });
    const platform = createHttpPlatform({
        ...settings.platform,
        failureDomain: failureDomainId(settings.host.failureDomain),
    });
    const random = xoroshiro128plus(Date.now() ^ process.pid);
    const host = createEntryHost({ settings, platform, network, logger, random, metrics });
    const limits = deriveConnectionLimits(settings.connections);
    const callerServer = createHttpServer(tls, false, limits.callers);
    const peerServer = createHttpServer(tls, true, limits.peers);
    const { bodyBytes } = settings.limits;
    const peerListener: RequestListener = createExchangeListener({
        bodyBytes,
        logger,
        handle: request => {
            const value = request.headers[signatureHeader];
            const isAuthentic = signature.verify(
                typeof value === "string" ? value : undefined,
                request.method,
                request.path,
            );
            return isAuthentic ? host.handleForwarded(request) : Promise.resolve(problem("unauthorized"));
        },
    });
    const callerListener = createExchangeListener({ bodyBytes, logger, handle: host.handle });
    guardServer({
        server: callerServer,
        limits: limits.callers,
        budget: createMemoryBudget(limits.requestBytes),
        recordRefusal: createRefusalRecorder({ port: "callers", counter: metrics.connectionRefusals, logger }),
        listener: async (incoming, outgoing) => {
            callerListener(incoming, outgoing);
            await once(outgoing, "close");
        },
    });
    peerServer.on("request", peerListener);
    const sockets = attachPeerServer({
        server: peerServer,
        peerKey: settings.security.peerKey,
        parse: body => peerMessageSchema.safeParse(body).data,
        handle: host.handlePeer,
        logger,
    });
    await listen(peerServer, settings.host.peerAddress);
    await listen(callerServer, settings.host.address);
    host.start();
    logger.info({ address: settings.host.address, peerAddress: settings.host.peerAddress }, "serving");
    return {
        host,
        stop: async () => {
            await host.drain();
            await closeServer(callerServer);
            sockets.clients.forEach(socket => {
                socket.terminate();
            });
            await closeServer(peerServer);
        },
    };
};
