import type { CellId, FailureDomainId, JobId } from "@jayfront/world";
import { createStopSignal, sleep } from "@jayfront/world";
import type { Logger } from "pino";

import type { CellLoad } from "../cell/cell-load.js";
import type { WorkflowCell } from "../cell/workflow-cell.js";
import type { Workflow, WorkflowState } from "../model/workflow.js";
import type { WorkflowReplies } from "../peer/workflow-message.js";
import type { WorkflowNetwork } from "../peer/workflow-network.js";
import { reservedStarts } from "../policy/placement-reserve.js";
import type { CellCandidate } from "../policy/rank-cells.js";
import { rankCells, widestStepCpu } from "../policy/rank-cells.js";
import type { StateStore } from "../port/state-store.js";
import type { WorkflowMetrics } from "../workflow-metrics.js";
import type { CellClaim, CellClaims } from "./cell-claims.js";
import type { EarlyCancellations } from "./early-cancellations.js";
import { createHolderSilence } from "./holder-silence.js";
import { lookUpCell } from "./look-up-cell.js";
import { readState } from "./read-state.js";
import type { WorkflowAnswer } from "./workflow-answer.js";
import type { OfferOutcome, WorkflowOffer } from "./workflow-offer.js";
import { createWorkflowOffer } from "./workflow-offer.js";

/** Answer to the submission of a workflow. */
export interface SubmissionAnswer {
    /** `unavailable`: it was not stored. `unknown`: it may have been stored. */
    readonly kind: "accepted" | "unavailable" | "unknown";
    /** Seconds after which the submitter should try again. */
    readonly retryAfter?: number;
    readonly reason: string;
}

/** Routes the requests of submitters, which may reach any entry host, to the holders of the cells. */
export interface WorkflowRouter {
    /** Submits a workflow. `timeout`: milliseconds within which the submitter should get an answer. */
    readonly submit: (workflow: Workflow, timeout: number) => Promise<SubmissionAnswer>;
    /** The state of a workflow, from its cell's holder or else from the store. */
    readonly state: (id: JobId) => Promise<WorkflowAnswer<WorkflowState>>;
    /** Cancels a workflow; also `cancelled` if it has already ended. */
    readonly cancel: (id: JobId) => Promise<WorkflowAnswer<"cancelled">>;
    /** Number of a queue's workflows without a started task; undefined if some cell's number is not known. */
    readonly pending: (queue: string) => number | undefined;
}

/** Options of {@link createWorkflowRouter}. */
export interface WorkflowRouterOptions {
    /** All cells; undefined until the cell plan has been read. */
    readonly cells: () => readonly CellId[] | undefined;
    readonly store: StateStore;
    readonly network: WorkflowNetwork;
    readonly claims: CellClaims;
    /** The cell, if this host holds it. */
    readonly held: (cell: CellId) => WorkflowCell | undefined;
    readonly earlyCancellations: EarlyCancellations;
    /** Failure domain of this host, from which its submitters' workflows count as coming; undefined if it is not known. */
    readonly origin?: FailureDomainId;
    /** Whether the cell is in the region of this host. */
    readonly isNear: (cell: CellId) => boolean;
    /** See `NearWaitsOptions.farRunFactor`. Default: 1. */
    readonly farRunFactor?: number;
    readonly logger: Logger;
    readonly metrics: Pick<WorkflowMetrics, "refusedSubmissions">;
}

/** Milliseconds for which a request about a workflow waits for a holder of its cell, which may be changing. */
const holderWait = 1_300;
/** Milliseconds for which a submission waits for any cell to have a holder; after that the submitter should retry. */
const submissionWait = 300;
/** Milliseconds between attempts to resolve a submission with an unknown outcome. */
const resolveInterval = 150;
/** Milliseconds for which a holder may take to tell its cell's load; a few round trips between regions. */
const loadTimeout = 150;
/** Milliseconds for which a connection to a holder may take to open before submissions are refused instead. */
const openWithin = 400;
/** Share of the time left within which a submission has to be sent; the rest is left for the reply. */
const sendingShare = 0.5;
/**
 * Share of a submission's time until which cells are asked one after another while they decline for lack of capacity; the
 * others are then asked at once.
 */
const decliningShare = 0.15;
/** Share of a submission's time from which a cell has to accept; it takes longer than to decline, for the write. */
const acceptingShare = 0.4;
/**
 * Milliseconds for which a submission that no cell has accepted waits for the index, and the same as a share of its time,
 * for short ones. Its submitter should have time left for a retry.
 */
const longestLookUp = 150;
const longestLookUpShare = 0.4;
/** Milliseconds between checks for a holder. */
const holderPollInterval = 50;
/** Seconds after which submitters should retry if no cell could take their workflow: a takeover's time and a margin. */
const retryAfterOutage = 1;
/** Seconds, at least and at most, after which submitters should retry while holders are late with placement. */
const shortestRetryAfterBehind = 2;
const longestRetryAfterBehind = 4;
/** Seconds after which the submitter of a workflow should retry; differ, so that submitters do not all return at once. */
const retryAfterBehind = (id: JobId): number =>
    shortestRetryAfterBehind
    + Number.parseInt(id.slice(-4), 16) % (longestRetryAfterBehind - shortestRetryAfterBehind + 1);
/**
 * Milliseconds for which this host adds workflows that it has sent to a cell to the cell's reported load; longer than
 * the slowest heartbeat interval, after which the report includes them.
 */
const sentRetention = 1_600;

/** Cells in the order in which a workflow should be offered to them. */
interface RankedCells {
    readonly cells: readonly CellId[];
    /** Loads that the holders told for this workflow; empty if they were not asked. */
    readonly loads: ReadonlyMap<CellId, CellLoad>;
}

/** Creates the router of an entry host. */
export const createWorkflowRouter = (options: WorkflowRouterOptions): WorkflowRouter => {
    const {
        cells,
        store,
        network,
        claims,
        held,
        earlyCancellations,
        origin,
        isNear,
        farRunFactor = 1,
        logger,
        metrics,
    } = options;
    const recentlySent: { readonly cell: CellId; readonly cpu: number; readonly at: number; }[] = [];

    /** Millicores requested by the widest steps of the workflows that this host has recently sent to a cell. */
    const recentlySentTo = (cell: CellId): number => {
        while (recentlySent[0] !== undefined && performance.now() - recentlySent[0].at > sentRetention) {
            recentlySent.shift();
        }
        return recentlySent.filter(entry => entry.cell === cell).reduce((sum, entry) => sum + entry.cpu, 0);
    };
    const activeClaims = (): readonly CellClaim[] => claims.allFresh().filter(claim => claim.summary.isActive);
    /** Polls `find` until it returns a value or the timeout ends; cells without a holder are taken over meanwhile. */
    const waitFor = async <Found>(
        find: () => Found | undefined | Promise<Found | undefined>,
        timeout: number = holderWait,
    ): Promise<Found | undefined> => {
        const deadline = performance.now() + timeout;
        let found = await find();
        while (found === undefined && performance.now() < deadline) {
            await sleep(holderPollInterval);
            found = await find();
        }
        return found;
    };
    /** Monotonic time in ms of the first submission that found no cell with a holder, if the last one found none. */
    let withoutHolderSince: number | undefined;
    /** Waits until a cell has a holder, unless submissions have waited for one for long enough already. */
    const waitForAnyHolder = async (timeout: number): Promise<void> => {
        const find = (): true | undefined => activeClaims().length > 0 ? true : undefined;
        const now = performance.now();
        const timeLeft = submissionWait - (now - (withoutHolderSince ?? now));
        const isFound = await waitFor(find, Math.min(timeout, timeLeft)) === true;
        withoutHolderSince = isFound ? undefined : withoutHolderSince ?? now;
    };
    const silence = createHolderSilence();
    const submitTo = async (
        cell: CellId,
        workflow: Workflow,
        mayDecline: boolean,
        knownLongRunningCpu: number | undefined,
        sendWithin: number,
    ): Promise<OfferOutcome> => {
        const ownCell = held(cell);
        if (ownCell !== undefined) {
            return ownCell.submit(workflow, mayDecline, knownLongRunningCpu);
        }
        const claim = claims.fresh(cell);
        if (claim === undefined) {
            return { kind: "not-holder" };
        }
        if (silence.isSilent(claim)) {
            return { kind: "silent" };
        }
        const recordReply = silence.recordSent(claim);
        const known = knownLongRunningCpu === undefined ? {} : { knownLongRunningCpu };
        const body = { cell, workflow, mayDecline, ...known };
        const answer = await network.call(claim.host, "submit", body, { sendWithin, openWithin });
        if (answer.isErr) {
            return { kind: answer.error.kind === "unknown" ? "no-answer" : "not-sent" };
        }
        recordReply();
        return answer.value;
    };
    /**
     * Cells that may take the workflow: those that keep up with placement, and the one that is known to have it; if there
     * are none, those with enough of their reserve left.
     */
    const candidates = (workflow: Workflow): readonly CellCandidate[] => {
        const known = activeClaims().map(({ summary }) => summary);
        const usual = known.filter(({ cell, isBehind }) => !isBehind || claims.cellOf(workflow.id) === cell);
        const starts = reservedStarts(workflow);
        const found = usual.length > 0
            ? usual
            : known.filter(({ placementReserve }) => placementReserve !== undefined && starts <= placementReserve);
        return found.map(summary => ({
            ...summary,
            sentCpu: recentlySentTo(summary.cell),
            isNear: isNear(summary.cell),
        }));
    };
    const askLoad = async (cell: CellId): Promise<CellLoad | undefined> => {
        const ownCell = held(cell);
        const claim = claims.fresh(cell);
        if (ownCell !== undefined || claim === undefined) {
            return ownCell?.load();
        }
        const answer = await Promise.race([
            network.call(claim.host, "cell-load", { cell }),
            sleep(loadTimeout).then(() => undefined),
        ]);
        return answer?.isOk === true ? answer.value : undefined;
    };
    /** The cells' loads now, as their holders tell them; undefined unless all do. */
    const askLoads = async (cells: readonly CellId[]): Promise<ReadonlyMap<CellId, CellLoad> | undefined> => {
        const loads = new Map<CellId, CellLoad>();
        await Promise.all(cells.map(async cell => {
            const load = await askLoad(cell);
            if (load !== undefined) {
                loads.set(cell, load);
            }
        }));
        return loads.size === cells.length ? loads : undefined;
    };
    /**
     * Cells in the order in which to offer the workflow. Long-running work stays for long, so that it goes by the loads
     * that the holders tell now; other work goes by their heartbeats and a draw.
     */
    const rank = async (workflow: Workflow): Promise<RankedCells> => {
        const { id, steps, queue } = workflow;
        const known = candidates(workflow);
        const isAsked = known.length > 1 && steps.some(step => step.isLasting);
        const loads = isAsked ? await askLoads(known.map(({ cell }) => cell)) : undefined;
        return loads === undefined
            ? { cells: rankCells(steps, queue.priority, known, id, farRunFactor), loads: new Map() }
            : {
                cells: rankCells(
                    steps,
                    queue.priority,
                    known.map(candidate => ({ ...candidate, ...loads.get(candidate.cell), sentCpu: 0 })),
                ),
                loads,
            };
    };
    /** The answer to a submission that no cell has accepted. */
    const describeFailure = ({ id }: Workflow, offer: WorkflowOffer): SubmissionAnswer => {
        if (offer.isCancelled()) {
            metrics.refusedSubmissions.inc({ reason: "cancelled" });
            const reason = "the workflow was cancelled before it was stored; submit it under another id";
            logger.info({ job: id, reason }, "workflow not accepted");
            return { kind: "unavailable", reason, retryAfter: Math.ceil(earlyCancellations.retention / 1_000) };
        }
        const mayBeStored = offer.mayBeStored();
        const isBehind = offer.hasFoundBehind() || activeClaims().some(({ summary }) => summary.isBehind);
        const attempts = offer.describeAttempts();
        const reason = attempts || (isBehind ? "every holder is late with placement" : "no cell has a holder");
        logger.info({ job: id, mayBeStored, reason }, "workflow not accepted");
        if (mayBeStored) {
            return { kind: "unknown", reason };
        }
        const lateReturn = offer.lateReturn();
        if (lateReturn !== undefined) {
            metrics.refusedSubmissions.inc({ reason: "late" });
            return { kind: "unavailable", reason, retryAfter: Math.ceil(lateReturn / 1_000) };
        }
        metrics.refusedSubmissions.inc({ reason: isBehind ? "behind" : attempts === "" ? "no-holder" : "other" });
        return { kind: "unavailable", reason, retryAfter: isBehind ? retryAfterBehind(id) : retryAfterOutage };
    };
    /** The answer to a submission of which the index shows that it is stored; undefined if it does not, or not in time. */
    const findStored = async (id: JobId, timeout: number): Promise<SubmissionAnswer | undefined> => {
        const ended = createStopSignal();
        const stored = await Promise.race([
            lookUpCell(store, id),
            sleep(Math.min(longestLookUp, timeout * longestLookUpShare), ended.signal).then(() => undefined),
        ]);
        ended.abort();
        if (stored?.kind !== "known") {
            return undefined;
        }
        // The holder of this cell runs what is stored there, whether it has replied or not.
        claims.rememberCell(id, stored.value);
        return { kind: "accepted", reason: `${stored.value}: indexed` };
    };
    const submit = async (submitted: Workflow, timeout: number): Promise<SubmissionAnswer> => {
        const workflow = origin === undefined ? submitted : { ...submitted, origin };
        const submittedAt = performance.now();
        const deadline = submittedAt + timeout;
        const decliningUntil = submittedAt + timeout * decliningShare;
        // Cells may decline for lack of capacity; after that, cells have to accept the workflow.
        let mayDecline = true;
        let loads: RankedCells["loads"] = new Map();
        /** Offers the workflow to a cell; after the deadline, nothing is sent and no reply is waited for. */
        const offerInTime = async (cell: CellId): Promise<OfferOutcome> => {
            const timeLeft = deadline - performance.now();
            if (timeLeft <= 0) {
                return { kind: "not-sent" };
            }
            const knownCpu = loads.get(cell)?.longRunningCpu;
            const ended = createStopSignal();
            const outcome = await Promise.race([
                submitTo(cell, workflow, mayDecline, knownCpu, timeLeft * sendingShare),
                sleep(timeLeft, ended.signal).then((): OfferOutcome => ({ kind: "no-answer" })),
            ]);
            ended.abort();
            return outcome;
        };
        const offer = createWorkflowOffer({
            submitTo: offerInTime,
            deadline,
            decliningUntil,
            acceptingFrom: submittedAt + timeout * acceptingShare,
        });
        /** Offers the workflow again, to the cells that had room for the largest share of it first. */
        const offerByRoom = async (cells: readonly CellId[]): Promise<CellId | undefined> =>
            offer.isDeclined()
                ? await offer.offerTo(
                    [...cells].sort((left, right) => offer.roomShareOf(right) - offer.roomShareOf(left)),
                )
                : undefined;
        const offerToCells = async (): Promise<SubmissionAnswer | undefined> => {
            await waitForAnyHolder(timeout);
            do {
                const ranked = await rank(workflow);
                loads = ranked.loads;
                let cell = await offer.offerTo(ranked.cells);
                if (cell === undefined && mayDecline && loads.size > 0 && performance.now() < decliningUntil) {
                    // Cells whose loads have changed since they were asked have declined, too.
                    loads = new Map();
                    cell = await offerByRoom(ranked.cells);
                }
                mayDecline = false;
                cell ??= await offerByRoom(ranked.cells);
                if (cell !== undefined) {
                    recentlySent.push({ cell, cpu: widestStepCpu(workflow.steps), at: performance.now() });
                    return { kind: "accepted", reason: offer.describeAttempts() };
                }
                // A workflow that may be stored must not be reported as refused: it is offered again until that is known.
                const timeLeft = deadline - performance.now();
                if (offer.mayBeStored() && timeLeft > 0) {
                    await sleep(Math.min(resolveInterval, timeLeft));
                }
            }
            while (offer.mayBeStored() && performance.now() < deadline);
            return undefined;
        };
        // A workflow that a holder has named in a heartbeat is being submitted again.
        const known = claims.cellOf(workflow.id) === undefined ? undefined : await findStored(workflow.id, timeout);
        const accepted = known ?? await offerToCells();
        if (accepted !== undefined) {
            return accepted;
        }
        // A holder that is behind or would be too late refuses a workflow that another one has stored. Other refusals are sent at once.
        const mayBeIndexed = offer.mayBeStored() || offer.hasFoundBehind() || offer.lateReturn() !== undefined;
        return (mayBeIndexed ? await findStored(workflow.id, timeout) : undefined) ?? describeFailure(workflow, offer);
    };
    /** Finds the cell of a workflow, from memory or from the index. */
    const findCell = async (id: JobId): Promise<WorkflowAnswer<CellId>> => {
        const known = claims.cellOf(id);
        if (known !== undefined) {
            return { kind: "known", value: known };
        }
        const read = await lookUpCell(store, id);
        if (read.kind === "known") {
            claims.rememberCell(id, read.value);
        }
        return read;
    };
    /** Sends a request to the holder of a cell, which may be this host. */
    const askHolder = async <Kind extends "state" | "cancel">(
        kind: Kind,
        cell: CellId,
        id: JobId,
    ): Promise<WorkflowReplies[Kind] | "not-holder"> => {
        const ownCell = held(cell);
        if (ownCell !== undefined) {
            return await ownCell[kind](id) as WorkflowReplies[Kind];
        }
        const claim = claims.fresh(cell);
        const answer = claim === undefined ? undefined : await network.call(claim.host, kind, { cell, id });
        return answer?.isOk === true ? answer.value : "not-holder";
    };
    const state = async (id: JobId): Promise<WorkflowAnswer<WorkflowState>> => {
        const cell = await findCell(id);
        if (cell.kind !== "known") {
            return cell;
        }
        const holderReply = await waitFor(async () => {
            const reply = await askHolder("state", cell.value, id);
            return reply === "not-holder" ? undefined : reply;
        });
        if (holderReply !== undefined && holderReply !== "not-known" && holderReply !== "unknown") {
            return { kind: "known", value: holderReply };
        }
        // A host that has lost the cell, or not loaded it yet, may lack stored workflows: only the rows prove absence.
        const stored = await readState(store, id);
        logger.info(
            { job: id, cell: cell.value, holderReply: holderReply ?? "no-answer", ...stored },
            "workflow state read from the store",
        );
        return stored;
    };
    const cancel = async (id: JobId): Promise<WorkflowAnswer<"cancelled">> => {
        const indexed = await findCell(id);
        // No host can tell that another one has not received a submission of the workflow, or will not.
        const mayBeSubmitted = indexed.kind === "absent" && indexed.isCancelled !== true;
        const cell = mayBeSubmitted ? await earlyCancellations.cancel(id) : indexed;
        if (cell.kind !== "known") {
            return cell;
        }
        const holderReply = await waitFor(async () => {
            const reply = await askHolder("cancel", cell.value, id);
            return reply === "cancelled" || reply === "not-known" ? reply : undefined;
        });
        if (holderReply === "cancelled") {
            return { kind: "known", value: holderReply };
        }
        const stored = await readState(store, id);
        const hasEnded = stored.kind === "known" && stored.value !== "queued" && stored.value !== "running";
        if (hasEnded) {
            return { kind: "known", value: "cancelled" };
        }
        return stored.kind === "absent"
            ? stored
            : { kind: "unavailable", reason: `cell ${cell.value} has no holder that can cancel the workflow` };
    };
    return {
        submit,
        state,
        cancel,
        pending: queue => {
            const counts = (cells() ?? [undefined]).map(cell => {
                const claim = cell === undefined ? undefined : claims.fresh(cell);
                return claim?.summary.isActive === true ? claim.summary.pending[queue] ?? 0 : undefined;
            });
            return counts.includes(undefined)
                ? undefined
                : counts.reduce<number>((sum, count) => sum + (count ?? 0), 0);
        },
    };
};
