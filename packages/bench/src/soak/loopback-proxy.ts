import type { Socket } from "node:net";
import { connect, createServer } from "node:net";

/**
 * What a proxy does with what passes it: `pass` it on, hold it back (`delay`), swallow it in both directions (`silence`)
 * or only what comes back (`one-way`).
 */
export type ProxyMode = "pass" | "delay" | "silence" | "one-way";

/** A TCP proxy on loopback that can be disturbed. */
export interface LoopbackProxy {
    /** `IP:port`. */
    readonly address: string;
    readonly setMode: (mode: ProxyMode) => void;
    /** Resets all open connections. */
    readonly reset: () => void;
    readonly close: () => void;
}

/** Options of {@link startLoopbackProxy}. */
export interface LoopbackProxyOptions {
    readonly port: number;
    /** Port on loopback that connections are passed on to. */
    readonly targetPort: number;
    /** Milliseconds by which `delay` holds each part back. Default 300. */
    readonly delay?: number;
}

const loopback = "127.0.0.1";
const defaultDelay = 300;

/** Starts a proxy that passes everything on. */
export const startLoopbackProxy = async (
    { port, targetPort: target, delay = defaultDelay }: LoopbackProxyOptions,
): Promise<LoopbackProxy> => {
    let mode: ProxyMode = "pass";
    const open = new Set<Socket>();
    const track = (socket: Socket, other: Socket): void => {
        open.add(socket);
        socket.on("error", () => {
            other.destroy();
        });
        socket.on("close", () => {
            open.delete(socket);
            other.destroy();
        });
    };
    const forward = (from: Socket, to: Socket, swallowing: ReadonlySet<ProxyMode>): void => {
        from.on("data", (part: Buffer) => {
            if (swallowing.has(mode)) {
                return;
            }
            if (mode === "delay") {
                setTimeout(() => {
                    to.write(part);
                }, delay);
                return;
            }
            to.write(part);
        });
    };
    const server = createServer(incoming => {
        const outgoing = connect(target, loopback);
        track(incoming, outgoing);
        track(outgoing, incoming);
        forward(incoming, outgoing, new Set<ProxyMode>(["silence"]));
        forward(outgoing, incoming, new Set<ProxyMode>(["silence", "one-way"]));
    });
    await new Promise<void>(resolve => {
        server.listen(port, loopback, resolve);
    });
    const reset = (): void => {
        open.forEach(socket => {
            socket.resetAndDestroy();
        });
    };
    return {
        address: `${loopback}:${String(port)}`,
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
