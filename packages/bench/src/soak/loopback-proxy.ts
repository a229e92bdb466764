import type { Socket } from "node:net";
import { connect, createServer } from "node:net";

/**
 * What a proxy does with data: forward it (`pass`), forward it late (`delay`), drop it in both directions (`silence`),
 * or drop only what the target sends back (`one-way`).
 */
export type ProxyMode = "pass" | "delay" | "silence" | "one-way";

/** A TCP proxy on loopback that can delay or drop data. */
export interface LoopbackProxy {
    /** `IP:port`. */
    readonly address: string;
    /** Applies to open connections, too. */
    readonly setMode: (mode: ProxyMode) => void;
    /** Resets all open connections. */
    readonly reset: () => void;
    /** Stops listening and resets all open connections. */
    readonly close: () => void;
}

/** Options of {@link startLoopbackProxy}. */
export interface LoopbackProxyOptions {
    /** Port on loopback to listen on. */
    readonly port: number;
    /** Port on loopback to which connections are forwarded. */
    readonly targetPort: number;
    /** Milliseconds by which the mode `delay` delays each chunk. Default 300. */
    readonly delay?: number;
}

const loopbackAddress = "127.0.0.1";
/** Milliseconds. */
const defaultDelay = 300;

/** Starts a proxy in mode `pass`. */
export const startLoopbackProxy = async (
    { port, targetPort, delay = defaultDelay }: LoopbackProxyOptions,
): Promise<LoopbackProxy> => {
    let mode: ProxyMode = "pass";
    const openSockets = new Set<Socket>();
    const track = (socket: Socket, other: Socket): void => {
        openSockets.add(socket);
        socket.on("error", () => {
            other.destroy();
        });
        socket.on("close", () => {
            openSockets.delete(socket);
            other.destroy();
        });
    };
    const forward = (from: Socket, to: Socket, droppingModes: ReadonlySet<ProxyMode>): void => {
        from.on("data", (chunk: Buffer) => {
            if (droppingModes.has(mode)) {
                return;
            }
            if (mode === "delay") {
                setTimeout(() => {
                    to.write(chunk);
                }, delay);
                return;
            }
            to.write(chunk);
        });
    };
    const server = createServer(incoming => {
        const outgoing = connect(targetPort, loopbackAddress);
        track(incoming, outgoing);
        track(outgoing, incoming);
        forward(incoming, outgoing, new Set<ProxyMode>(["silence"]));
        forward(outgoing, incoming, new Set<ProxyMode>(["silence", "one-way"]));
    });
    await new Promise<void>(resolve => {
        server.listen(port, loopbackAddress, resolve);
    });
    const reset = (): void => {
        openSockets.forEach(socket => {
            socket.resetAndDestroy();
        });
    };
    return {
        address: `${loopbackAddress}:${String(port)}`,
        setMode: next => {
            mode = next;
        },
        reset,
        close: () => {
            server.close();
            reset();
        },
    };
};
