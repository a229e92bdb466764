import { randomInt } from "node:crypto";
import { createServer } from "node:net";

const isFree = (ip: string, port: number): Promise<boolean> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => {
            resolve(false);
        });
        server.listen(port, ip, () => {
            server.close(() => {
                resolve(true);
            });
        });
    });

/** Returns loopback addresses, one for each machine, on which all `ports` are free. */
export const findAddresses = async (count: number, ports: readonly number[]): Promise<readonly string[]> => {
    for (;;) {
        const block = `127.${String(randomInt(20, 250))}.${String(randomInt(1, 250))}`;
        const addresses = Array.from({ length: count }, (...[, index]) => `${block}.${String(index + 1)}`);
        const checks = await Promise.all(addresses.flatMap(ip => ports.map(port => isFree(ip, port))));
        if (checks.every(free => free)) {
            return addresses;
        }
    }
};
