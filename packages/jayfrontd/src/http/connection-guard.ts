import type { IncomingMessage, Server, ServerOptions, ServerResponse } from "node:http";
import { Server as TlsServer } from "node:https";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";

import type { PortLimits } from "./connection-limits.js";
import type { MemoryBudget } from "./memory-budget.js";
import type { ConnectionRefusal } from "./refusal-recorder.js";

/** A request that has been admitted; what it holds is given back once it is handled and its answer is sent or lost. */
export interface Admission {
    /** Takes further bytes for the request; false if no memory is left for them. */
    readonly take: (bytes: number) => boolean;
    /** Whether the connection of the request is closed, so that nobody would read an answer. */
    readonly isGone: () => boolean;
}

/** Handles an admitted request; resolves when nothing of the request is held any more apart from its answer. */
export type GuardedListener = (
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    admission: Admission,
) => Promise<void> | void;

/** Options of {@link guardServer}. */
export interface ConnectionGuardOptions {
    /** Created with {@link guardedServerOptions}. */
    readonly server: Server;
    readonly limits: PortLimits;
    readonly budget: MemoryBudget;
    readonly recordRefusal: (reason: ConnectionRefusal) => void;
    readonly listener: GuardedListener;
}

/** The guard of a server. */
export interface ConnectionGuard {
    /** Exempts a connection, which has left HTTP and whose client is authenticated, from all bounds. */
    readonly trust: (socket: Duplex) => void;
}

/** A request that an admission stands for. */
interface AdmittedRequest {
    readonly incoming: IncomingMessage;
    bytes: number;
    isHandled: boolean;
    isAnswered: boolean;
}

interface Connection {
    readonly requests: Set<AdmittedRequest>;
    /** Monotonic time in ms of the last admission or answer, or of the opening. */
    activeAt: number;
    /** Whether a request has been answered. */
    isKnown: boolean;
}

/** The parser of a socket, which Node.js does not declare. */
interface ParsedSocket extends Duplex {
    readonly parser?: { onIncoming?: unknown; } | null;
}

/** Bytes that a request holds besides its body: its objects, its answer, and what waits for it. */
const requestBytes = 16 * 1_024;
/** Bytes that each name or value of a header holds besides its text, which a connection holds once. */
const headerTextBytes = 64;
/** Milliseconds between checks for requests that are late. */
const checkInterval = 10_000;
/** Seconds after which a client should retry if no memory is left for its request. */
const retryAfter = 1;
/** Answers to requests that are refused on their header alone. */
const statusWithoutHost = 400;
const statusUnmetExpectation = 417;
const statusNoMemory = 503;

/** Error of a request that is not complete in time. */
const lateRequest = "ERR_HTTP_REQUEST_TIMEOUT";
/** Statuses of requests that the parser rejects; 400 for other errors. */
const errorStatuses: Readonly<Record<string, string>> = {
    [lateRequest]: "408 Request Timeout",
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
};
/** Errors of a connection that its client has ended. */
const connectionErrors: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE", "HPE_INVALID_EOF_STATE"]);

/** Options with which a server that is guarded has to be created. */
export const guardedServerOptions = ({ headerTime, requestTime, idleTime }: PortLimits): ServerOptions => ({
    headersTimeout: Math.min(headerTime, requestTime),
    requestTimeout: requestTime,
    keepAliveTimeout: idleTime,
    connectionsCheckingInterval: checkInterval,
    // Node.js would answer such requests by itself, however many a client sends ahead.
    requireHostHeader: false,
});

/** Ends an exchange with an answer that the request was not handled, and the connection with it. */
export const refuseRequest = (outgoing: ServerResponse, status: number, headers: Record<string, string> = {}): void => {
    outgoing.writeHead(status, { ...headers, "content-length": "0", connection: "close" });
    outgoing.end();
};

/**
 * Serves `listener` by a server, and bounds what its clients can hold: connections, requests at a time of each, memory,
 * and the time until a request is complete. Over a bound, a request is answered 503 before it is handled, or its
 * connection is closed.
 */
export const guardServer = (options: ConnectionGuardOptions): ConnectionGuard => {
    const { server, limits, budget, recordRefusal, listener } = options;
    const connections = new Map<Duplex, Connection>();

    const giveBack = (request: AdmittedRequest): void => {
        if (request.isHandled && request.isAnswered) {
            budget.giveBack(request.bytes);
            request.bytes = 0;
        }
    };
    /** Stops the parser, which would go on to the end of the bytes that have been read, with an object a request. */
    const stopParsing = (socket: ParsedSocket): void => {
        if (socket.parser) {
            socket.parser.onIncoming = () => 0;
        }
    };
    const closeConnection = (socket: Duplex, reason: ConnectionRefusal): void => {
        recordRefusal(reason);
        forget(socket);
        stopParsing(socket);
        socket.destroy();
    };
    const forget = (socket: Duplex): void => {
        const connection = connections.get(socket);
        connections.delete(socket);
        connection?.requests.forEach(request => {
            request.isAnswered = true;
            giveBack(request);
        });
    };
    /** Whether a whole request of the connection is being handled, so that closing the connection would lose its answer. */
    const isWorkedFor = ({ requests }: Connection): boolean =>
        [...requests].some(({ incoming, isHandled }) => incoming.complete && !isHandled);
    /** Closes the connection that is of the least use: one that has never had an answer, then the longest inactive. */
    const closeLeastUseful = (
        reason: ConnectionRefusal,
        isCandidate: (connection: Connection) => boolean,
    ): boolean => {
        let chosen: [Duplex, Connection] | undefined;
        for (const entry of connections) {
            const [, connection] = entry;
            const isPreferred = chosen === undefined
                || Number(connection.isKnown) < Number(chosen[1].isKnown)
                || connection.isKnown === chosen[1].isKnown && connection.activeAt < chosen[1].activeAt;
            if (isPreferred && isCandidate(connection) && !isWorkedFor(connection)) {
                chosen = entry;
            }
        }
        if (chosen !== undefined) {
            closeConnection(chosen[0], reason);
        }
        return chosen !== undefined;
    };
    const connectionEvent = server instanceof TlsServer ? "secureConnection" : "connection";
    server.on(connectionEvent, (socket: Socket) => {
        if (connections.size >= limits.connections && !closeLeastUseful("too-many-connections", () => true)) {
            recordRefusal("too-many-connections");
            socket.destroy();
            return;
        }
        connections.set(socket, { requests: new Set(), activeAt: performance.now(), isKnown: false });
        socket.once("close", () => {
            forget(socket);
        });
    });
    server.setTimeout(limits.idleTime, socket => {
        const connection = connections.get(socket);
        const isUnread = socket.writableLength > 0;
        if (connection === undefined || isUnread || !isWorkedFor(connection)) {
            socket.destroy();
        }
    });
    server.on("clientError", ({ code = "" }: NodeJS.ErrnoException, socket: Socket) => {
        const connection = connections.get(socket);
        if (connection !== undefined && !connectionErrors.has(code)) {
            recordRefusal(code === lateRequest ? "late-request" : "malformed-request");
            if (socket.writable && connection.requests.size === 0) {
                const status = errorStatuses[code] ?? "400 Bad Request";
                socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
            }
        }
        socket.destroy();
    });

    const takeOrReclaim = (bytes: number): boolean => {
        const isTaken = budget.take(bytes);
        if (!isTaken) {
            // Clients that never complete their requests or read their answers make room for others.
            closeLeastUseful("memory", ({ requests }) => requests.size > 0);
        }
        return isTaken;
    };
    /** Admits a request; undefined if it has been refused. */
    const admit = (incoming: IncomingMessage, outgoing: ServerResponse): AdmittedRequest | undefined => {
        const { socket } = incoming;
        const connection = connections.get(socket);
        if (connection === undefined) {
            return undefined;
        }
        if (connection.requests.size >= limits.requestsPerConnection) {
            closeConnection(socket, "sent-ahead");
            return undefined;
        }
        const bytes = requestBytes + incoming.rawHeaders.length * headerTextBytes;
        if (!takeOrReclaim(bytes)) {
            recordRefusal("memory");
            stopParsing(socket);
            refuseRequest(outgoing, statusNoMemory, { "retry-after": String(retryAfter) });
            return undefined;
        }
        const request: AdmittedRequest = { incoming, bytes, isHandled: false, isAnswered: false };
        connection.requests.add(request);
        connection.activeAt = performance.now();
        outgoing.once("close", () => {
            connection.requests.delete(request);
            connection.activeAt = performance.now();
            connection.isKnown = true;
            request.isAnswered = true;
            giveBack(request);
        });
        return request;
    };
    const serve = (handle: GuardedListener) => (incoming: IncomingMessage, outgoing: ServerResponse): void => {
        const request = admit(incoming, outgoing);
        if (request === undefined) {
            return;
        }
        const take = (bytes: number): boolean => {
            const isTaken = takeOrReclaim(bytes);
            if (isTaken) {
                request.bytes += bytes;
            }
            else {
                recordRefusal("memory");
            }
            return isTaken;
        };
        const run = async (): Promise<void> => {
            try {
                await handle(incoming, outgoing, { take, isGone: () => request.isAnswered });
            }
            finally {
                request.isHandled = true;
                giveBack(request);
            }
        };
        void run();
    };
    server.on(
        "checkExpectation",
        serve((...[, outgoing]) => {
            refuseRequest(outgoing, statusUnmetExpectation);
        }),
    );
    server.on(
        "request",
        serve((incoming, outgoing, admission) => {
            if (incoming.httpVersionMinor === 1 && incoming.headers.host === undefined) {
                refuseRequest(outgoing, statusWithoutHost);
                return;
            }
            return listener(incoming, outgoing, admission);
        }),
    );
    return { trust: forget };
};
