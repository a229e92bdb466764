import type { AddressInfo } from "node:net";
import { createServer } from "node:net";

/** Finds `count` free ports on loopback, chosen by the operating system. */
export const findFreePorts = async (count: number): Promise<readonly number[]> => {
    const servers = await Promise.all(
        [...Array(count).keys()].map(() =>
            new Promise<ReturnType<typeof createServer>>((resolve, reject) => {
                const server = createServer();
                server.once("error", reject);
                server.listen(0, "127.0.0.1", () => {
                    resolve(server);
                });
            })
        ),
    );
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server =>
        new Promise<void>(resolve => {
            server.close(() => {
                resolve();
            });
        })
    ));
    return ports;
};
