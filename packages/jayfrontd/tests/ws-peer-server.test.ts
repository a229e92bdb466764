import type { Server } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import pino from "pino";

import type { PeerConnection } from "../src/peer/ws-peer-connection.js";
import { createPeerConnection } from "../src/peer/ws-peer-connection.js";
import { attachPeerServer } from "../src/peer/ws-peer-server.js";

const peerKey = "a key that all entry hosts share";

describe("peer server", () => {
    let server: Server;
    let connections: PeerConnection[];
    let handled: number;
    const connect = (): PeerConnection => {
        const { port } = server.address() as AddressInfo;
        const connection = createPeerConnection({
            address: `127.0.0.1:${String(port)}`,
            peerKey,
            tls: undefined,
            timeout: 1_000,
            onSent: () => undefined,
        });
        connections.push(connection);
        return connection;
    };
    beforeEach(async () => {
        connections = [];
        handled = 0;
        server = createServer();
        attachPeerServer<{ readonly hosts: readonly string[]; }>({
            server,
            peerKey,
            parse: body => body as { readonly hosts: readonly string[]; },
            handle: message => {
                handled += 1;
                return Promise.resolve(message.hosts.length);
            },
            logger: pino({ level: "silent" }),
        });
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
    });
    afterEach(() => {
        connections.forEach(connection => {
            connection.close();
        });
        server.closeAllConnections();
        server.close();
    });

    // Guards against a crash of the whole process when the handler throws on a malformed message.
    it("closes a connection whose message can't be handled and keeps serving others", async () => {
        const answer = await connect().call({ other: 1 });
        const next = await connect().call({ hosts: ["a", "b"] });
        expect([answer.isOk, next.isOk && next.value]).toEqual([false, 2]);
    });

    // Guards against a call that was reported as not sent and is sent once the connection is open.
    it("never gets a call that was given up before the connection was open", async () => {
        const connection = connect();
        const given = await connection.call({ hosts: ["a"] }, { sendWithin: 0, openWithin: 1_000 });
        const next = await connection.call({ hosts: ["a", "b"] });
        expect([given.isErr && given.error.kind, next.isOk && next.value, handled]).toEqual(["not-sent", 2, 1]);
    });

    // Guards against calls of which each waits again for a connection that has been opening for too long.
    it("refuses a call at once if the connection has been opening for too long, and takes one when it is open", async () => {
        const connection = connect();
        const limits = { sendWithin: 1_000, openWithin: 0 };
        const given = await connection.call({ hosts: ["a"] }, limits);
        await connection.call({ hosts: ["a", "b"] });
        const next = await connection.call({ hosts: ["a", "b", "c"] }, limits);
        expect([given.isErr && given.error.kind, next.isOk && next.value, handled]).toEqual(["not-sent", 3, 2]);
    });
});
