import type { ClientRequest } from "node:http";

/**
 * Returns a function that tells whether `request` has ever had an established connection.
 * If not, no byte of the request can have reached the server.
 */
export const watchConnection = (request: ClientRequest): () => boolean => {
    let isConnected = false;
    request.on("socket", socket => {
        if (!socket.connecting) {
            isConnected = true;
            return;
        }
        socket.once("connect", () => {
            isConnected = true;
        });
    });
    return () => isConnected;
};
