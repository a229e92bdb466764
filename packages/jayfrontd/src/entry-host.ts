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

/** An entry host without its sockets. */
export interface EntryHost {
    readonly host: Host;
    readonly metrics: Metrics;
    /** Starts heartbeats, the environment watch and the cell manager. */
    readonly start: () => void;
    /** Handles a request from a caller or an operator. */
    readonly handle: (request: CallerRequest) => Promise<CallerResponse>;
    /** Handles a request that an authenticated peer has forwarded. */
    readonly handleForwarded: (request: CallerRequest) => Promise<CallerResponse>;
    /** Handles a control message from an authenticated peer and resolves with the reply. */
    readonly handlePeer: (message: PeerMessage) => Promise<unknown>;
    /** Whether callers may send requests to the host: its environment watch is ready and the host is not draining. */
    readonly isReady: () => boolean;
    readonly status: () => HostStatus;
    /** Stops gracefully: reports not ready, hands over its cells and waits for requests in flight. */
    readonly drain: () => Promise<void>;
    /** Stops at once, like a crash. */
    readonly kill: () => void;
    /** Whether all workers on the cell's roster have accepted its epoch or are proven gone; undefined if not held. */
    readonly isFenced: (cell: CellId) => boolean | undefined;
}

/** Options of {@link createEntryHost}. */
export interface EntryHostOptions {
    readonly settings: Settings;
    readonly platform: Platform;
    readonly network: PeerNetwork;
    readonly logger: Logger;
    readonly random: RandomGenerator;
    /** Default: metrics in a new registry. */
    readonly metrics?: Metrics;
    /** Creates the ids of new jobs. Default: random UUIDs. */
    readonly newId?: () => string;
    /** Injects a fault for tests: tasks start as soon as any worker of the cell is adopted. Default false. */
    readonly startsAfterFirstAdoption?: boolean;
}

const drainPollIntervalMs = 50;
/** A job explanation may go to a host of the cell's failure domain, and from there to the holder. */
const maxExplanationHops = 2;

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

    const createHeartbeat = (): Heartbeat => ({
        kind: "heartbeat",
        host: self,
        incarnation,
        isReady: isReady(),
        environmentVersion: environmentWatch.current()?.version ?? 0,
        environmentAge: environmentWatch.confirmedAge(),
        cells: cellManager.claims(),
    });
    const membership = createMembership({
        self,
        liveList: platform.liveList,
        network,
        timing,
        logger,
        createHeartbeat,
        onChange: () => {
            cellManager.syncWorkers();
        },
    });
    const environmentWatch = createEnvironmentWatch({
        self,
        name: settings.host.environment,
        platform,
        network,
        membership,
        timing,
        logger,
        metrics,
    });
    const cellManager = createCellManager({
        self,
        incarnation,
        platform,
        network,
        membership,
        timing,
        environment: environmentWatch.current,
        logger,
        metrics,
        random,
        ...(options.startsAfterFirstAdoption === undefined
            ? {}
            : { startsAfterFirstAdoption: options.startsAfterFirstAdoption }),
    });
    const router = createRequestRouter({
        self,
        environment: environmentWatch.current,
        membership,
        cellManager,
        network,
        intents: createRequestIntents({ platform, host: self.id, metrics }),
        limits: settings.limits,
        metrics,
        logger,
        random,
    });
    /** Makes the holders of `cells` read their rows again, here and on other hosts. */
    const notifyHolders = (cells: readonly CellId[]): void => {
        cells.forEach(cell => cellManager.heldCell(cell)?.requestReload());
        const domains = new Set(cells.map(cell => cell.slice(0, cell.lastIndexOf("/"))));
        for (const host of membership.hosts()) {
            if (host.id !== self.id && domains.has(host.failureDomain)) {
                void network.call(host, { kind: "cell-changed", cells: [...cells] });
            }
        }
    };
    const jobs = createJobManager({
        platform,
        document: () => environmentWatch.current()?.document,
        workers: membership.allWorkers,
        notifyHolders,
        newId: options.newId,
    });
    const isReady = (): boolean => !isDraining && environmentWatch.isReady();
    const status = (): HostStatus => ({
        host: self.id,
        failureDomain: self.failureDomain,
        isReady: isReady(),
        environmentVersion: environmentWatch.current()?.version ?? 0,
        confirmedAge: environmentWatch.confirmedAge(),
        cells: cellManager.heldCells().map(heldCell => ({
            cell: heldCell.cell,
            epoch: heldCell.epoch,
            role: heldCell.role,
            freeSlots: heldCell.dispatcher.freeSlots(),
            queued: heldCell.dispatcher.queued(),
            ...heldCell.counts(),
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
        "cell-offer": message => cellManager.acceptOffer(message.cell, message.epoch),
        "cell-changed": message => {
            message.cells.forEach(cell => cellManager.heldCell(cell)?.requestReload());
            return true;
        },
        "environment-wanted": () => environmentWatch.current(),
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
    /** Host to ask about a cell: its holder, or any host of its failure domain. */
    const findHostToAsk = (cell: CellId): Host | undefined =>
        membership.claimant(cell)?.host
            ?? membership.hosts().find(host => host.id !== self.id && cell.startsWith(`${host.failureDomain}/`));
    const explainCell = async (cell: CellId, job: JobId, hops: number): Promise<readonly string[]> => {
        const heldCell = cellManager.heldCell(cell);
        if (heldCell !== undefined) {
            return heldCell.explain(job);
        }
        const host = hops > 0 ? findHostToAsk(cell) : undefined;
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
            [...new Set(job.value.chunks)].map(cell => explainCell(cell, id, maxExplanationHops)),
        );
        return [`accepted at ${new Date(job.value.acceptedAt).toISOString()}`, ...lines.flat()];
    };
    /** Compares a new document with the workers on the live list; one line for each finding. */
    const checkAgainstWorkers = (environment: Environment): Promise<readonly string[]> => {
        const listedDomains = new Set<string>(membership.allWorkers().map(worker => worker.failureDomain));
        const declaredDomains = Object.keys(environment.document.failureDomains);
        const missing = declaredDomains.filter(domain => !listedDomains.has(domain))
            .map(domain => `failureDomains.${domain}: the live list shows no worker of it`);
        const undeclared = [...listedDomains].filter(domain => !declaredDomains.includes(domain))
            .map(domain => `failure domain ${domain} has workers but is not declared; they stay unused`);
        const overcommitted = membership.allWorkers().flatMap(worker => {
            const cores = Object.values(environment.document.services)
                .reduce((sum, service) => sum + service.endpoint.cores, 0);
            return cores > worker.resources.cores
                ? [`worker ${worker.id}: endpoints reserve ${String(cores)} cores of ${String(worker.resources.cores)}`]
                : [];
        });
        return Promise.resolve([...missing, ...undeclared, ...overcommitted.slice(0, 5)]);
    };
    const operatorContext: OperatorContext = {
        environments: createEnvironmentStore(platform),
        jobs,
        hostStatuses,
        workers: () =>
            membership.allWorkers().map(worker => {
                const cells = environmentWatch.current()?.document.failureDomains[worker.failureDomain]?.cells;
                const cell = cells === undefined ? undefined : cellOfWorker(worker.id, worker.failureDomain, cells);
                return { ...worker, cell };
            }),
        explainJob,
        checkAgainstWorkers,
        bodyLimit: settings.limits.bodyBytes,
    };
    const isOperator = (request: CallerRequest): boolean => {
        const header = request.headers["authorization"];
        const token = typeof header === "string" && header.startsWith("Bearer ") ? header.slice("Bearer ".length) : "";
        // All tokens are compared, so that the response time does not reveal which one matched.
        return settings.security.operatorTokens.map(accepted => areSecretsEqual(accepted, token)).includes(true);
    };
    const serveMetrics = async (): Promise<CallerResponse> => ({
        status: 200,
        headers: { "content-type": metrics.registry.contentType },
        body: Readable.from([Buffer.from(await metrics.registry.metrics())]),
    });
    /** Handlers by the first segment of the path. */
    const handlers: Record<string, (request: CallerRequest) => Promise<CallerResponse>> = {
        services: request => isRefusing ? Promise.resolve(problem("draining")) : router.serve(request),
        jobs: request => isRefusing ? Promise.resolve(problem("draining")) : serveJobs(jobs, request),
        operator: request =>
            isOperator(request) ? serveOperator(operatorContext, request) : Promise.resolve(problem("unauthorized")),
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
            void environmentWatch.run(stop.signal);
            void cellManager.run(stop.signal);
        },
        handle: request => {
            const handler = handlers[request.path.split(/[/?]/)[1] ?? ""];
            return handler === undefined ? Promise.resolve(problem("unknown-path")) : handler(request);
        },
        handleForwarded: router.serveForwarded,
        handlePeer: message =>
            Promise.resolve((peerHandlers[message.kind] as (message: PeerMessage) => unknown)(message)),
        drain: async () => {
            isDraining = true;
            await sleep(timing.drainNotice);
            await cellManager.handOverAll();
            isRefusing = true;
            const deadline = performance.now() + timing.drainDeadline;
            while (router.inFlight() > 0 && performance.now() < deadline) {
                await sleep(drainPollIntervalMs);
            }
            cellManager.stop();
            stop.abort();
        },
        kill: () => {
            stop.abort();
            cellManager.stop();
        },
        isFenced: cell => cellManager.heldCell(cell)?.isFenced(),
    };
};
