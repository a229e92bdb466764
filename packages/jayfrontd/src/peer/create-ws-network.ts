import type { IncomingMessage, RequestOptions } from "node:http";
import { Agent, request as requestHttp } from "node:http";
import { Agent as TlsAgent, request as requestHttps } from "node:https";
import { pipeline } from "node:stream";

import { watchConnection } from "@jayfront/platform";
import type { Host } from "@jayfront/world";
import { Result } from "true-myth";

import type { CallerRequest, CallerResponse, HeaderFields } from "../http/exchange.js";
import type { TlsMaterial } from "../http/tls-material.js";
import type { Metrics } from "../metrics.js";
import type { PeerError, PeerNetwork } from "./peer-network.js";
import type { RequestSignature } from "./request-signature.js";
import { signatureHeader } from "./request-signature.js";
import type { PeerConnection } from "./ws-peer-connection.js";
import { createPeerConnection } from "./ws-peer-connection.js";

/** Options of {@link createWsNetwork}. */
export interface WsNetworkOptions {
    readonly self: { readonly failureDomain: string; };
    /** Key that all entry hosts share. */
    readonly peerKey: string;
    readonly signature: RequestSignature;
    /** Undefined for plain TCP. */
    readonly tls: TlsMaterial | undefined;
    readonly metrics: Metrics;
    /** Milliseconds to wait for a reply before a call's outcome counts as unknown. Default 1,000. */
    readonly timeout?: number;
}

/** HTTP connections that may be open to one peer at a time. */
const maxConnectionsPerPeer = 256;

const readHeaders = (response: IncomingMessage): HeaderFields =>
    Object.fromEntries(
        Object.entries(response.headers).flatMap(([name, value]) => value === undefined ? [] : [[name, value]]),
    );

/** Creates a network that sends control messages over WebSocket and forwards requests with bodies over HTTP. */
export const createWsNetwork = (options: WsNetworkOptions): PeerNetwork => {
    const { self, peerKey, signature, tls, metrics, timeout = 1_000 } = options;
    const connections = new Map<string, PeerConnection>();
    const agent = tls === undefined
        ? new Agent({ keepAlive: true, maxSockets: maxConnectionsPerPeer })
        : new TlsAgent({ keepAlive: true, maxSockets: maxConnectionsPerPeer, ...tls });
    const linkLabel = (host: Host): string => host.failureDomain === self.failureDomain ? "domain" : "remote";
    const connectionTo = (host: Host): PeerConnection => {
        const existing = connections.get(host.peerAddress);
        if (existing !== undefined && !existing.isClosed()) {
            return existing;
        }
        const created = createPeerConnection({
            address: host.peerAddress,
            peerKey,
            tls,
            timeout,
            onSent: bytes => {
                metrics.linkBytes.inc({ link: linkLabel(host), purpose: "control" }, bytes);
            },
        });
        connections.set(host.peerAddress, created);
        return created;
    };
    const forward = (host: Host, forwarded: CallerRequest): Promise<Result<CallerResponse, PeerError>> =>
        new Promise(resolve => {
            const [address, port] = host.peerAddress.split(":");
            const requestOptions: RequestOptions = {
                host: address,
                port,
                method: forwarded.method,
                path: forwarded.path,
                agent,
                headers: {
                    ...Object.fromEntries(
                        Object.entries(forwarded.headers)
                            .map(([name, value]) => [name, typeof value === "string" ? value : [...value]]),
                    ),
                    [signatureHeader]: signature.sign(forwarded.method, forwarded.path),
                },
                signal: forwarded.signal,
            };
            const clientRequest = tls === undefined
                ? requestHttp(requestOptions)
                : requestHttps({ ...requestOptions, ...tls });
            const isConnected = watchConnection(clientRequest);
            clientRequest.on("response", response => {
                resolve(Result.ok({
                    status: response.statusCode ?? 502,
                    headers: readHeaders(response),
                    body: response,
                }));
            });
            clientRequest.on("error", () => {
                const kind = isConnected() ? "unknown" : "not-sent";
                resolve(Result.err({ kind, message: `${host.id} did not answer a forwarded request` }));
            });
            forwarded.body.on("data", (part: Buffer) => {
                metrics.linkBytes.inc({ link: linkLabel(host), purpose: "request" }, part.length);
            });
            pipeline(forwarded.body, clientRequest, () => {
                // An error of either stream reaches the `error` handler above.
            });
        });
    return {
        call: async (host, message) => await connectionTo(host).call(message) as never,
        forward,
    };
};
