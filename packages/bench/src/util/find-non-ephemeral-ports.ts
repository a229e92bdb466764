import { createServer } from "node:net";

/**
 * Ports outside the ephemeral range, from which systems choose the ports of outgoing connections: a process that
 * restarts finds its port free.
 */
const firstPort = 10_000;
const lastPort = 30_000;
/** Distance of the first ports of processes with successive ids: those that start together probe different ports. */
const processStride = 211;

let nextPort = firstPort + process.pid * processStride % (lastPort - firstPort);

const isFree = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => {
            resolve(false);
        });
        server.listen(port, "127.0.0.1", () => {
            server.close(() => {
                resolve(true);
            });
        });
    });

/**
 * Finds `count` free ports on loopback outside the ephemeral range. Each call continues after the ports found before
 * and starts over after the last port.
 */
export const findNonEphemeralPorts = async (count: number): Promise<readonly number[]> => {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = nextPort;
        nextPort = nextPort + 1 >= lastPort ? firstPort : nextPort + 1;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
};
