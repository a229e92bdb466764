import { createServer } from "node:net";

/** Ports that systems don't hand out to outgoing connections, so that a process that starts again finds its own free. */
const firstPort = 10_000;
const lastPort = 30_000;
/** Ports between the first ones of two processes that look at the same time. */
const processStride = 211;

let next = firstPort + process.pid * processStride % (lastPort - firstPort);

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

/** Finds `count` ports on loopback that nobody listens on, each once in the life of this process. */
export const findNonEphemeralPorts = async (count: number): Promise<readonly number[]> => {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = next;
        next = next + 1 >= lastPort ? firstPort : next + 1;
        if (await isFree(port)) {
            ports.push(port);
        }
    }
    return ports;
};
