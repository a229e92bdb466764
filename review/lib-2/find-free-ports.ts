import { createServer } from "node:net";

/** Below the ports that the system gives to outgoing connections. */
const firstPort = 12_000;
const portRange = 16_000;

const isFree = (address: string, port: number): Promise<boolean> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => {
            resolve(false);
        });
        server.listen(port, address, () => {
            server.close(() => {
                resolve(true);
            });
        });
    });

/** Finds ports on which nothing listens at the address. */
export const findFreePorts = async (address: string, count: number): Promise<readonly number[]> => {
    const found: number[] = [];
    while (found.length < count) {
        const port = firstPort + Math.floor(Math.random() * portRange);
        if (!found.includes(port) && await isFree(address, port)) {
            found.push(port);
        }
    }
    return found;
};
