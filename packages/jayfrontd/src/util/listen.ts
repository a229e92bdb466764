import type { Server } from "node:http";

/** Binds `server` to `address` (`IP:port`); rejects if that fails, for example because the port is in use. */
export const listen = (server: Server, address: string): Promise<void> =>
    new Promise((resolve, reject) => {
        const separator = address.lastIndexOf(":");
        server.once("error", reject);
        server.listen(Number(address.slice(separator + 1)), address.slice(0, separator), resolve);
    });
