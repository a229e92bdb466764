/** A connection from one simulated host to another. */
export interface SimulatedConnection {
    /** Registers a callback at the receiver for the close of the connection. */
    readonly onClose: (callback: () => void) => void;
    /** Resolves once the connection has closed. */
    readonly closed: Promise<void>;
    /** Closes the connection, which ends all its calls; the next call opens a new one. */
    readonly close: () => void;
}

/** The connections between simulated hosts: one for each sender and receiver, opened by the first call. */
export interface PeerConnections {
    readonly between: (from: string, to: string) => SimulatedConnection;
    /** Closes all connections that `from` has opened, as the end of its process does. */
    readonly closeAllFrom: (from: string) => void;
}

/** Creates a set of connections that is empty. */
export const createPeerConnections = (): PeerConnections => {
    const connections = new Map<string, Map<string, SimulatedConnection>>();
    const open = (from: string, to: string): SimulatedConnection => {
        const callbacks = new Set<() => void>();
        let settle = (): void => undefined;
        const closed = new Promise<void>(resolve => {
            settle = resolve;
        });
        const connection: SimulatedConnection = {
            onClose: callback => callbacks.add(callback),
            closed,
            close: () => {
                if (connections.get(from)?.get(to) === connection) {
                    connections.get(from)?.delete(to);
                    settle();
                    callbacks.forEach(callback => {
                        callback();
                    });
                }
            },
        };
        return connection;
    };
    return {
        between: (from, to) => {
            const opened = connections.get(from) ?? new Map<string, SimulatedConnection>();
            connections.set(from, opened);
            const connection = opened.get(to) ?? open(from, to);
            opened.set(to, connection);
            return connection;
        },
        closeAllFrom: from => {
            [...connections.get(from)?.values() ?? []].forEach(connection => {
                connection.close();
            });
        },
    };
};
