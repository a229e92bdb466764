import { randomUUID } from "node:crypto";
import { Readable } from "node:stream";

import type { Platform } from "@jayfront/platform";
import type { CellId, Environment, Host, JobId } from "@jayfront/world";
import { cellOfWorker, createStopSignal, failureDomainId, hostId, sleep } from "@jayfront/world";
import type { Logger } from "pino";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

import { createCellManager } from "./cell/cell-manager.js";
import { createEnvironmentStore } from "./environment/environment-store.js";
import { createEnvironmentWatch } from "./environment/environment-watch.js";
import type { CallerRequest, CallerResponse } from "./http/exchange.js";
import { serveJobs } from "./http/job-routes.js";
import { jsonResponse } from "./http/json-response.js";
import type { OperatorContext } from "./http/operator-routes.js";
import { serveOperator } from "./http/operator-routes.js";
import { problem } from "./http/problem.js";
import { createJobManager } from "./job/job-manager.js";
import type { Metrics } from "./metrics.js";
import { createMetrics } from "./metrics.js";
import { createMembership } from "./peer/membership.js";
import type { Heartbeat, HostStatus, PeerMessage } from "./peer/peer-message.js";
import type { PeerNetwork } from "./peer/peer-network.js";
import { createRequestIntents } from "./request/request-intents.js";
import { createRequestRouter } from "./request/request-router.js";
import type { Settings } from "./settings.js";
import { areSecretsEqual } from "./util/are-secrets-equal.js";

/** An entry host: everything of jayfrontd but the sockets. */
export interface EntryHost {
    readonly host: Host;
    readonly metrics: Metrics;
    readonly start: () => void;
    /** Answers a request of a caller or operator. */
    readonly handle: (request: CallerRequest) => Promise<CallerResponse>;
    /** Answers a request that a peer forwarded; the peer has been authenticated. */
    readonly handleForwarded: (request: CallerRequest) => Promise<CallerResponse>;
    /** Answers a peer's control message; the peer has been authenticated. */
    readonly handlePeer: (message: PeerMessage) => Promise<unknown>;
    readonly isReady: () => boolean;
    readonly status: () => HostStatus;
    /** Stops gracefully: readiness off, cells handed over, requests in flight ended. */
    readonly drain: () => Promise<void>;
    /** Stops at once, as a crash does. */
    readonly kill: () => void;
    readonly isFenced: (cell: CellId) => boolean | undefined;
}

/** Options of {@link createEntryHost}. */
export interface EntryHostOptions {
    readonly settings: Settings;
    readonly platform: Platform;
    readonly network: PeerNetwork;
    readonly logger: Logger;
    readonly random: RandomGenerator;
    /** Default: a registry of the host's own. */
    readonly metrics?: Metrics;
    /** Makes the ids of new jobs. Default: random UUIDs. */
    readonly newId?: () => string;
    /** Planted fault, see `createHeldCell`. */
    readonly startsAfterFirstAdoption?: boolean;
}

const drainCheckInterval = 50;
/** A host of the cell's failure domain, and there the holder. */
const hopsOfExplanation = 2;

/** Creates an entry host that is not started. */
export const createEntryHost = (options: EntryHostOptions): EntryHost => {
    const { settings, platform, network, logger, random } = options;
    const { timing } = settings;
    const self: Host = {
        id: hostId(settings.host.id),
        failureDomain: failureDomainId(settings.host.failureDomain),
        address: settings.host.address,
        peerAddress: settings.host.peerAddress,
    };
    const incarnation = randomUUID();
    const metrics = options.metrics ?? createMetrics();
    const stop = createStopSignal();
    let isDraining = false;
    let isRefusing = false;

    const describe = (): Heartbeat => ({
        kind: "heartbeat",
        host: self,
        incarnation,
        isReady: isReady(),
        environmentVersion: watch.current()?.version ?? 0,
        environmentAge: watch.confirmedAge(),
        cells: warden.claims(),
    });
    const membership = createMembership({
        self,
        liveList: platform.liveList,
        network,
        timing,
        logger,
        createHeartbeat: describe,
        onChange: () => {
            warden.syncWorkers();
        },
    });
    const watch = createEnvironmentWatch({
        self,
        name: settings.host.environment,
        platform,
        network,
        membership,
        timing,
        logger,
        metrics,
    });
    const warden = createCellManager({
        self,
        incarnation,
        platform,
        network,
        membership,
        timing,
        environment: watch.current,
        logger,
        metrics,
        random,
        ...(options.startsAfterFirstAdoption === undefined
            ? {}
            : { startsAfterFirstAdoption: options.startsAfterFirstAdoption }),
    });
    const router = createRequestRouter({
        self,
        environment: watch.current,
        membership,
        cellManager: warden,
        network,
        intents: createRequestIntents({ platform, host: self.id, metrics }),
        limits: settings.limits,
        metrics,
        logger,
        random,
    });
    const notifyCells = (cells: readonly CellId[]): void => {
        cells.forEach(cell => warden.heldCell(cell)?.requestReload());
        const domains = new Set(cells.map(cell => cell.slice(0, cell.lastIndexOf("/"))));
        for (const host of membership.hosts()) {
            if (host.id !== self.id && domains.has(host.failureDomain)) {
                void network.call(host, { kind: "cell-changed", cells: [...cells] });
            }
        }
    };
    const jobs = createJobManager({
        platform,
        document: () => watch.current()?.document,
        workers: membership.allWorkers,
        notifyHolders: notifyCells,
        newId: options.newId,
    });
    const isReady = (): boolean => !isDraining && watch.isReady();
    const status = (): HostStatus => ({
        host: self.id,
        failureDomain: self.failureDomain,
        isReady: isReady(),
        environmentVersion: watch.current()?.version ?? 0,
        confirmedAge: watch.confirmedAge(),
        cells: warden.heldCells().map(held => ({
            cell: held.cell,
            epoch: held.epoch,
            role: held.role,
            freeSlots: held.dispatcher.freeSlots(),
            queued: held.dispatcher.queued(),
            ...held.counts(),
        })),
        requestsInFlight: router.inFlight(),
    });
    const peerHandlers: {
        [Kind in PeerMessage["kind"]]: (message: Extract<PeerMessage, { kind: Kind; }>) => unknown;
    } = {
        heartbeat: message => {
            membership.receive(message);
            return true;
        },
        "cell-offer": message => warden.acceptOffer(message.cell, message.epoch),
        "cell-changed": message => {
            message.cells.forEach(cell => warden.heldCell(cell)?.requestReload());
            return true;
        },
        "environment-wanted": () => watch.current(),
        "host-status-wanted": status,
        "job-explanation-wanted": message => explainCell(message.cell, message.job as JobId, message.hops),
    };
    const hostStatuses = async (): Promise<{ hosts: readonly HostStatus[]; silent: readonly string[]; }> => {
        const others = membership.hosts().filter(host => host.id !== self.id);
        const answers = await Promise.all(
            others.map(async host => ({ host, answer: await network.call(host, { kind: "host-status-wanted" }) })),
        );
        const hosts = [status(), ...answers.flatMap(({ answer }) => answer.isOk ? [answer.value] : [])];
        return {
            hosts: hosts.sort((left, right) => left.host < right.host ? -1 : 1),
            silent: answers.filter(({ answer }) => answer.isErr).map(({ host }) => host.id),
        };
    };
    /** Whom to ask about a cell: its holder, or any host of its failure domain. */
    const knowerOf = (cell: CellId): Host | undefined =>
        membership.claimant(cell)?.host
            ?? membership.hosts().find(host => host.id !== self.id && cell.startsWith(`${host.failureDomain}/`));
    const explainCell = async (cell: CellId, job: JobId, hops: number): Promise<readonly string[]> => {
        const held = warden.heldCell(cell);
        if (held !== undefined) {
            return held.explain(job);
        }
        const host = hops > 0 ? knowerOf(cell) : undefined;
        if (host === undefined) {
            return [`cell ${cell}: no holder is known to ${self.id}; ask again, or look at \`jayfront top\``];
        }
        const answer = await network.call(host, { kind: "job-explanation-wanted", cell, job, hops: hops - 1 });
        return answer.isOk ? answer.value : [`cell ${cell}: ${host.id} gave no answer`];
    };
    const explainJob = async (id: JobId): Promise<readonly string[]> => {
        const job = await jobs.read(id);
        if (job.isErr) {
            return [`the job can't be read: ${job.error.problem}`];
        }
        const lines = await Promise.all(
            [...new Set(job.value.chunks)].map(cell => explainCell(cell, id, hopsOfExplanation)),
        );
        return [`accepted at ${new Date(job.value.acceptedAt).toISOString()}`, ...lines.flat()];
    };
    /** What a new document would meet in the world as it is. */
    const exercise = (environment: Environment): Promise<readonly string[]> => {
        const listed = new Set<string>(membership.allWorkers().map(worker => worker.failureDomain));
        const declared = Object.keys(environment.document.failureDomains);
        const missing = declared.filter(domain => !listed.has(domain))
            .map(domain => `failureDomains.${domain}: the live list shows no worker of it`);
        const undeclared = [...listed].filter(domain => !declared.includes(domain))
            .map(domain => `failure domain ${domain} has workers but is not declared; they stay unused`);
        const crowded = membership.allWorkers().flatMap(worker => {
            const cores = Object.values(environment.document.services)
                .reduce((sum, service) => sum + service.endpoint.cores, 0);
            return cores > worker.resources.cores
                ? [`worker ${worker.id}: endpoints reserve ${String(cores)} cores of ${String(worker.resources.cores)}`]
                : [];
        });
        return Promise.resolve([...missing, ...undeclared, ...crowded.slice(0, 5)]);
    };
    const operatorServices: OperatorContext = {
        environments: createEnvironmentStore(platform),
        jobs,
        hostStatuses,
        workers: () =>
            membership.allWorkers().map(worker => {
                const cells = watch.current()?.document.failureDomains[worker.failureDomain]?.cells;
                const cell = cells === undefined ? undefined : cellOfWorker(worker.id, worker.failureDomain, cells);
                return { ...worker, cell };
            }),
        explainJob,
        checkAgainstWorkers: exercise,
        bodyLimit: settings.limits.bodyBytes,
    };
    const isOperator = (request: CallerRequest): boolean => {
        const header = request.headers["authorization"];
        const token = typeof header === "string" && header.startsWith("Bearer ") ? header.slice("Bearer ".length) : "";
        // Every token is compared, so that time does not tell which one was near.
        return settings.security.operatorTokens.map(known => areSecretsEqual(known, token)).includes(true);
    };
    const serveMetrics = async (): Promise<CallerResponse> => ({
        status: 200,
        headers: { "content-type": metrics.registry.contentType },
        body: Readable.from([Buffer.from(await metrics.registry.metrics())]),
    });
    /** Doors by first part of the path. */
    const doors: Record<string, (request: CallerRequest) => Promise<CallerResponse>> = {
        services: request => isRefusing ? Promise.resolve(problem("draining")) : router.serve(request),
        jobs: request => isRefusing ? Promise.resolve(problem("draining")) : serveJobs(jobs, request),
        operator: request =>
            isOperator(request) ? serveOperator(operatorServices, request) : Promise.resolve(problem("unauthorized")),
        healthz: () => Promise.resolve(jsonResponse(200, { host: self.id, isAlive: true })),
        readyz: () => Promise.resolve(isReady() ? jsonResponse(200, { isReady: true }) : problem("not-ready")),
        metrics: serveMetrics,
    };
    return {
        host: self,
        metrics,
        isReady,
        status,
        start: () => {
            void membership.run(stop.signal);
            void watch.run(stop.signal);
            void warden.run(stop.signal);
        },
        handle: request => {
            const door = doors[request.path.split(/[/?]/)[1] ?? ""];
            return door === undefined ? Promise.resolve(problem("unknown-path")) : door(request);
        },
        handleForwarded: router.serveForwarded,
        handlePeer: message =>
            Promise.resolve((peerHandlers[message.kind] as (message: PeerMessage) => unknown)(message)),
        drain: async () => {
            isDraining = true;
            await sleep(timing.drainNotice);
            await warden.handOverAll();
            isRefusing = true;
            const deadline = performance.now() + timing.drainDeadline;
            while (router.inFlight() > 0 && performance.now() < deadline) {
                await sleep(drainCheckInterval);
            }
            warden.stop();
            stop.abort();
        },
        kill: () => {
            stop.abort();
            warden.stop();
        },
        isFenced: cell => warden.heldCell(cell)?.isFenced(),
    };
};
