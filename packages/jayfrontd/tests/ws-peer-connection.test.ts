import type { Server } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

import { sleep } from "@jayfront/world";
import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import pino from "pino";
import type { WebSocketServer } from "ws";

import type { PeerConnection } from "../src/peer/ws-peer-connection.js";
import { createPeerConnection } from "../src/peer/ws-peer-connection.js";
import { attachPeerServer } from "../src/peer/ws-peer-server.js";

const peerKey = "a key that all entry hosts share";
/** Milliseconds without a reply after which a call fails. */
const timeout = 300;

/** Keeps the event loop from turning, as a lack of processor time does. */
const block = (milliseconds: number): void => {
    const end = performance.now() + milliseconds;
    while (performance.now() < end) {
        // Nothing else may run.
    }
};

/** What the server does with a message. */
type Handling = "reply" | "reply and block" | "stay silent";
const handlers: Record<Handling, () => Promise<string>> = {
    reply: () => Promise.resolve("done"),
    "reply and block": () => {
        setImmediate(block, 3 * timeout);
        return Promise.resolve("done");
    },
    "stay silent": () => new Promise(() => undefined),
};

describe("a peer connection", () => {
    let server: Server;
    let sockets: WebSocketServer;
    let connection: PeerConnection;
    const call = async (handling: Handling): Promise<unknown> => {
        const result = await connection.call(handling);
        return result.isOk ? result.value : result.error.kind;
    };
    const connect = (): PeerConnection =>
        createPeerConnection({
            address: `127.0.0.1:${String((server.address() as AddressInfo).port)}`,
            peerKey,
            tls: undefined,
            timeout,
            onSent: () => undefined,
        });
    beforeEach(async () => {
        server = createServer();
        sockets = attachPeerServer<Handling>({
            server,
            peerKey,
            parse: body => body as Handling,
            handle: message => handlers[message](),
            logger: pino({ level: "silent" }),
        });
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
        connection = connect();
    });
    afterEach(() => {
        connection.close();
        server.closeAllConnections();
        server.close();
    });

    // Guards against a late process that takes its peers for lost, closes the connections and thereby seems lost to them.
    it("receives the reply that arrived while the process was late, and stays open", async () => {
        await call("reply");
        expect([await call("reply and block"), await call("reply"), connection.isClosed()])
            .toEqual(["done", "done", false]);
    });

    // Guards against a late process that gives up each connection before it is established.
    it("is established although the process was late", async () => {
        const reply = call("reply");
        setImmediate(block, 3 * timeout);
        expect(await reply).toBe("done");
    });

    // Guards against one slow call of a peer that ends all others and makes the peer take this host for lost.
    it("stays open if one call has no reply while others have one", async () => {
        await call("reply");
        const silent = call("stay silent");
        await sleep(timeout / 2);
        const others = [await call("reply")];
        expect(await silent).toBe("unknown");
        others.push(await call("reply"));
        expect([others, connection.isClosed()]).toEqual([["done", "done"], false]);
    });

    // Guards against calls that fail for ever on a connection that has gone silent without an end.
    it("is closed if nothing at all is received within the time of a call", async () => {
        await call("reply");
        expect(await call("stay silent")).toBe("unknown");
        expect(await call("reply")).toBe("not-sent");
        await sleep(0);
        expect(connection.isClosed()).toBe(true);
    });

    // Guards against calls that wait for ever on a connection that went silent while it was established.
    it("is closed if it is not established in time", async () => {
        connection.close();
        sockets.removeAllListeners("connection");
        connection = connect();
        const end = new AbortController();
        const reply = await Promise.race([call("reply"), sleep(10 * timeout, end.signal)]);
        end.abort();
        expect([reply, connection.isClosed()]).toEqual(["not-sent", true]);
    });
});
