import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";

import { afterAll, afterEach, beforeAll, describe, expect, it } from "@jest/globals";

import type { Admission, GuardedListener } from "../src/http/connection-guard.js";
import { guardedServerOptions, guardServer } from "../src/http/connection-guard.js";
import { createMemoryBudget } from "../src/http/memory-budget.js";

/** A request that the listener has got and not answered. */
interface Waiting {
    readonly incoming: IncomingMessage;
    readonly outgoing: ServerResponse;
    readonly admission: Admission;
    readonly finish: () => void;
}

const limits = { connections: 2, requestsPerConnection: 2, headerTime: 10_000, requestTime: 10_000, idleTime: 10_000 };
const request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
/** Bytes of a little more than two requests without bodies. */
const budgetBytes = 40_000;

describe("a guarded server", () => {
    const server = createServer(guardedServerOptions(limits));
    const refusals: string[] = [];
    const waiting: Waiting[] = [];
    const sockets: Socket[] = [];
    const budget = createMemoryBudget(budgetBytes);
    const listener: GuardedListener = (incoming, outgoing, admission) =>
        new Promise(finish => {
            waiting.push({ incoming, outgoing, admission, finish });
        });
    guardServer({ server, limits, budget, recordRefusal: reason => refusals.push(reason), listener });
    beforeAll(async () => {
        await new Promise<void>(resolve => {
            server.listen(0, "127.0.0.1", resolve);
        });
    });
    afterAll(() => {
        server.close();
    });

    /** Opens a connection and collects what it receives. */
    const open = async (text: string): Promise<{ socket: Socket; received: () => string; }> => {
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        sockets.push(socket);
        let received = "";
        socket.on("data", (part: Buffer) => {
            received += part.toString();
        });
        socket.on("error", () => undefined);
        await new Promise(resolve => {
            socket.write(text, resolve);
        });
        return { socket, received: () => received };
    };
    const until = async (condition: () => boolean): Promise<void> => {
        while (!condition()) {
            await new Promise(resolve => {
                setImmediate(resolve);
            });
        }
    };
    const answerAll = (): void => {
        waiting.splice(0).forEach(({ outgoing, finish }) => {
            outgoing.end();
            finish();
        });
    };
    afterEach(async () => {
        sockets.splice(0).forEach(socket => {
            socket.destroy();
        });
        answerAll();
        await until(() => budget.taken() === 0);
        refusals.length = 0;
    });

    // Guards against memory that stays counted, until nothing is admitted, or is given back while a request holds it.
    it("gives memory back once a request is both handled and answered or lost", async () => {
        const { socket } = await open(request);
        await until(() => waiting.length === 1);
        const [{ outgoing, admission, finish } = {} as Waiting] = waiting;
        expect([admission.take(1_000), admission.take(budgetBytes)]).toEqual([true, false]);
        const taken = budget.taken();
        socket.destroy();
        await until(() => outgoing.closed);
        expect(budget.taken()).toBe(taken);
        finish();
        await until(() => budget.taken() === 0);
    });

    // Guards against work for a request whose caller has left before the work began (issue 64).
    it("tells the handler of a request that its connection is closed", async () => {
        const { socket } = await open(request);
        await until(() => waiting.length === 1);
        const [{ outgoing, admission } = {} as Waiting] = waiting;
        expect(admission.isGone()).toBe(false);
        socket.destroy();
        await until(() => outgoing.closed);
        expect(admission.isGone()).toBe(true);
    });

    // Guards against a refusal that reaches a caller after its request was handled.
    it("answers 503 before a request is handled if no memory is left", async () => {
        await open(request + request);
        await until(() => waiting.length === 2);
        const { received } = await open(request);
        await until(() => received().includes("\r\n\r\n"));
        expect(received()).toMatch(/^HTTP\/1\.1 503 .*retry-after: 1.*connection: close/is);
        expect([waiting.length, refusals]).toEqual([2, ["memory"]]);
    });

    // Guards against requests that were read before their connection was closed and would still be handled.
    it("closes a connection with more requests than allowed, without a look at the rest", async () => {
        const { socket } = await open(request.repeat(3_000));
        await until(() => socket.destroyed);
        expect(waiting.length).toBeLessThanOrEqual(limits.requestsPerConnection);
        expect(refusals.length).toBe(1);
    });

    // Guards against connections that are left open and keep others out.
    it("closes a connection without an answered request for a new one, and none that is worked for", async () => {
        const worked = await open(request);
        await until(() => waiting.length === 1);
        const left = await open("GET / HTTP/1.1\r\n");
        const next = await open(request);
        await until(() => waiting.length === 2 && left.socket.destroyed);
        answerAll();
        await until(() => worked.received() !== "" && next.received() !== "");
        expect(refusals).toEqual(["too-many-connections"]);
    });
});
