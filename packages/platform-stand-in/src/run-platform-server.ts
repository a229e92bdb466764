import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

import type { Worker, WorkerId } from "@jayfront/world";
import { sleep } from "@jayfront/world";

import { createWorkers } from "./create-workers.js";
import type { Fault } from "./fault-injector.js";
import type { StandInSettings } from "./stand-in-settings.js";
import type { StandIn } from "./stand-in.js";
import { createStandIn } from "./stand-in.js";

/** A stand-in that is served over HTTP on loopback. */
export interface PlatformServer {
    readonly standIn: StandIn;
    /** `IP:port` of the table service, object store, live list and control interface. */
    readonly address: string;
    /** Closes all servers and their connections. */
    readonly close: () => Promise<void>;
}

const loopback = "127.0.0.1";
const statuses = { conflict: 409, refused: 422, unavailable: 503 } as const;
/** Milliseconds until the connection of an unanswered call is closed; callers time out much earlier. */
const unansweredCallTimeout = 60_000;

const listen = async (port: number): Promise<Server> => {
    const server = createServer({ keepAliveTimeout: 60_000 });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, loopback, resolve);
    });
    return server;
};
const addressOf = (server: Server): string => `${loopback}:${String((server.address() as AddressInfo).port)}`;
const readText = async (incoming: IncomingMessage): Promise<string> => {
    const parts: Uint8Array[] = [];
    for await (const part of incoming) {
        parts.push(Buffer.from(part as Uint8Array));
    }
    return Buffer.concat(parts).toString();
};
const parse = (text: string): unknown => {
    try {
        return text === "" ? undefined : JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
};

/** Handles a call to the platform's services, or to `worker` if it is given. */
const handleCall = async (
    standIn: StandIn,
    worker: Worker | undefined,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
): Promise<void> => {
    const from = [incoming.headers["x-failure-domain"]].flat().filter(value => value !== undefined);
    const body = parse(await readText(incoming));
    const answer = await standIn.transport(from)(worker, incoming.url ?? "/", body);
    if (answer.isOk) {
        outgoing.writeHead(200, { "content-type": "application/json" });
        outgoing.end(answer.value === undefined ? "" : JSON.stringify(answer.value));
        return;
    }
    const { kind, code } = answer.error;
    if (kind === "unknown") {
        outgoing.destroy();
        return;
    }
    outgoing.writeHead(statuses[kind]);
    outgoing.end(code ?? "");
};

/** Handles a request to an endpoint: responds after its latency with the worker's id and the request's body. */
const handleEndpointRequest = async (
    standIn: StandIn,
    worker: Worker,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
): Promise<void> => {
    const service = (incoming.url ?? "").split(/[/?]/)[2] ?? "";
    const [epoch, term] = String(incoming.headers["x-worker-fence"] ?? "").split(".");
    const machine = standIn.machines.get(worker.id);
    const triggered = standIn.faults.trigger({
        door: "endpoint",
        path: incoming.url ?? "",
        from: [],
        to: [worker.id, worker.failureDomain],
    });
    const admitted = machine?.condition() === "up" && !triggered.some(fault => fault.action === "drop")
        ? machine.admit(
            { epoch: Number(epoch), term: Number(term) },
            service,
            String(incoming.headers["x-request-id"] ?? ""),
        )
        : undefined;
    if (admitted === undefined) {
        outgoing.destroy();
        return;
    }
    if (admitted.isErr) {
        outgoing.writeHead(statuses.refused, { "x-worker-refused": admitted.error });
        outgoing.end();
        incoming.resume();
        return;
    }
    const disconnected = new AbortController();
    outgoing.on("close", () => {
        disconnected.abort();
    });
    const { latency, end } = admitted.value;
    const [body] = await Promise.all([readText(incoming).catch(() => ""), sleep(latency, disconnected.signal)]);
    end();
    if (triggered.some(fault => fault.action === "lose-reply") || machine?.condition() !== "up") {
        outgoing.destroy();
        return;
    }
    outgoing.writeHead(200, { "content-type": "text/plain", "x-endpoint": worker.id });
    outgoing.end(`${worker.id} ${body}`);
};

/** Actions of the control interface on a worker. */
const workerControls: Record<string, (standIn: StandIn, worker: WorkerId) => void> = {
    kill: (standIn, worker) => {
        standIn.killWorker(worker);
    },
    restart: (standIn, worker) => {
        standIn.restartWorker(worker);
    },
    leave: (standIn, worker) => {
        standIn.drainWorker(worker);
    },
    pause: (standIn, worker) => {
        standIn.machines.get(worker)?.setPaused(true);
    },
    resume: (standIn, worker) => {
        standIn.machines.get(worker)?.setPaused(false);
    },
    fail: (standIn, worker) => {
        const machine = standIn.machines.get(worker);
        if (machine !== undefined) {
            machine.failsEverything = true;
        }
    },
};

/** Handles the control interface, by which tests and demonstrations inject faults and read the journal. */
const handleControlRequest = async (
    standIn: StandIn,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
): Promise<void> => {
    const body = parse(await readText(incoming));
    const [, , subject, worker, action] = (incoming.url ?? "").split("/");
    if (subject === "faults" && incoming.method === "POST") {
        standIn.faults.add(body as Fault);
    }
    if (subject === "faults" && incoming.method === "DELETE") {
        standIn.faults.clear();
    }
    if (subject === "workers" && action !== undefined) {
        workerControls[action]?.(standIn, worker as WorkerId);
    }
    const { journal, table } = standIn;
    const taskEntries = journal.entries.filter(entry => entry.kind === "task-started" || entry.kind === "task-ended");
    outgoing.writeHead(200, { "content-type": "application/json" });
    outgoing.end(JSON.stringify({
        counts: Object.fromEntries(journal.counts),
        table: table.counts,
        breaches: journal.entries.filter(entry => entry.kind === "breach"),
        tasks: subject === "journal" ? taskEntries : [],
    }));
};

/** Starts a stand-in with one HTTP server for the platform's services and one for each worker. */
export const runPlatformServer = async (settings: StandInSettings): Promise<PlatformServer> => {
    const servicesServer = await listen(settings.port);
    const servers = new Map<string, Server>();
    for (const worker of createWorkers(settings.workers, () => "")) {
        servers.set(worker.id, await listen(0));
    }
    const workers = createWorkers(settings.workers, id => {
        const server = servers.get(id);
        return server === undefined ? "" : addressOf(server);
    });
    const standIn = createStandIn({
        workers,
        hidden: settings.hidden,
        seed: settings.seed,
        listLag: settings.listLag,
        reportLag: settings.reportLag,
        timeout: unansweredCallTimeout,
        latency: 0,
    });
    servicesServer.on("request", (incoming: IncomingMessage, outgoing: ServerResponse) => {
        const isControl = incoming.url?.startsWith("/control/") === true;
        void (isControl
            ? handleControlRequest(standIn, incoming, outgoing)
            : handleCall(standIn, undefined, incoming, outgoing))
            .catch(() => outgoing.destroy());
    });
    for (const worker of workers) {
        servers.get(worker.id)?.on("request", (incoming: IncomingMessage, outgoing: ServerResponse) => {
            const isEndpoint = incoming.url?.startsWith("/services/") === true;
            void (isEndpoint
                ? handleEndpointRequest(standIn, worker, incoming, outgoing)
                : handleCall(standIn, worker, incoming, outgoing)).catch(() => outgoing.destroy());
        });
    }
    return {
        standIn,
        address: addressOf(servicesServer),
        close: async () => {
            await Promise.all([servicesServer, ...servers.values()].map(server =>
                new Promise<void>(resolve => {
                    server.close(() => {
                        resolve();
                    });
                    server.closeAllConnections();
                })
            ));
        },
    };
};
