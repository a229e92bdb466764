import type { Socket } from "node:net";
import { connect } from "node:net";

import { sleep } from "@jayfront/world";

/** Callers that keep to no convention: each opens a connection, sends bytes and never reads an answer. */
export interface Crowd {
    /** `IP:port`. */
    readonly address: string;
    readonly connections: number;
    /** What each connection sends at once. */
    readonly payload: (connection: number) => string | Buffer;
    /** What each connection sends after that, every 20 ms. Default: nothing. */
    readonly drip?: string;
    /** Whether a connection that was closed is opened again, every 100 ms. Default false. */
    readonly returns?: boolean;
}

/** A crowd that has been let in. */
export interface RunningCrowd {
    /** Connections that are open now. */
    readonly open: () => number;
    /** Resets all connections. */
    readonly leave: () => void;
}

/** Milliseconds. */
const dripInterval = 20;
/** Milliseconds. */
const returnInterval = 100;
/** Milliseconds for which the crowd may take to send its payloads; a server may stop reading them. */
const sendingTime = 2_500;

/** Opens all connections of a crowd and waits until all have sent what they can. */
export const sendCrowd = async (crowd: Crowd): Promise<RunningCrowd> => {
    const { address, connections, payload, drip, returns = false } = crowd;
    const [host, port] = address.split(":");
    const sockets = new Map<number, Socket>();
    const open = (connection: number): void => {
        const socket = connect(Number(port), host);
        socket.pause();
        socket.on("error", () => undefined);
        socket.on("close", () => {
            sockets.delete(connection);
        });
        socket.write(payload(connection));
        sockets.set(connection, socket);
    };
    const openAll = (): void => {
        for (let connection = 0; connection < connections; connection += 1) {
            if (!sockets.has(connection)) {
                open(connection);
            }
        }
    };
    openAll();
    const timers = [
        ...(drip === undefined ? [] : [setInterval(() => {
            sockets.forEach(socket => socket.write(drip));
        }, dripInterval)]),
        ...(returns ? [setInterval(openAll, returnInterval)] : []),
    ];
    await sleep(sendingTime);
    return {
        open: () => sockets.size,
        leave: () => {
            timers.forEach(clearInterval);
            sockets.forEach(socket => {
                // Node.js resets a socket only once it is connected, which may never happen.
                if (socket.connecting) {
                    socket.destroy();
                }
                else {
                    socket.resetAndDestroy();
                }
            });
        },
    };
};
