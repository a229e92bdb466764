import type { WorkerId } from "@jayfront/world";
import { createWakeUp, sleep } from "@jayfront/world";
import type { Logger } from "pino";
import type { Result } from "true-myth";

import type { TaskName } from "../model/task-name.js";
import type { WorkerEntry } from "../model/worker-entry.js";
import type { OrderError, StartOrder, WorkerGateway, WorkerReport } from "../port/worker-gateway.js";
import type { CellTiming } from "./cell-timing.js";
import { leaseDuration } from "./cell-timing.js";
import type { ExpectedStart } from "./expected-start.js";
import type { LateOrderDetector } from "./late-order-detector.js";
import type { InheritedLeases, LeaseExpiry } from "./lease-expiry.js";
import { createLeaseExpiry, noLeases } from "./lease-expiry.js";
import { createOrderTokens } from "./order-tokens.js";
import { createPendingStarts } from "./pending-starts.js";
import type { PollBudget, PollUrgency } from "./poll-budget.js";
import { createPollPacing } from "./poll-pacing.js";
import { createWorkerClock } from "./worker-clock.js";
import { createWorkerListing } from "./worker-listing.js";

/**
 * Contact of the cell's holder with a worker: `unknown` until the worker has answered in this epoch, `known` while all
 * its runs are accounted for, `silent` after it stopped answering, `lapsed` once nothing can run there any more.
 */
export type ContactState = "unknown" | "known" | "silent" | "lapsed";

/** Polls one worker of a cell, sends it orders and extends its lease. */
export interface WorkerSession {
    readonly id: WorkerId;
    readonly entry: () => WorkerEntry;
    /** Monotonic time in ms at which the entry was read, or its `remaining` last changed. */
    readonly entryAt: () => number;
    /** Updates the worker's directory entry; undefined if the worker is no longer listed. */
    readonly setEntry: (entry: WorkerEntry | undefined) => void;
    readonly contact: () => ContactState;
    /**
     * Whether tasks of earlier holders may run on the worker, or may have ended there, without this holder knowing: it has
     * not answered in this epoch, or not all of its ends have been listed since.
     */
    readonly mayHaveUnknownRuns: () => boolean;
    /** Monotonic time in ms of the first failed poll since the worker's last report; undefined if none has failed. */
    readonly failingSince: () => number | undefined;
    /**
     * Milliseconds after which nothing can run any more on a worker that does not answer or drains: 0 if it has reported
     * that nothing runs there; undefined while it answers otherwise, or may answer its first poll in this epoch.
     */
    readonly leasedFor: () => number | undefined;
    /** As `leasedFor`, including deadlines that may still arrive late; undefined if none may. */
    readonly lateFor: () => number | undefined;
    /** Deadline for starts, in ms on the worker's clock; undefined if it may not start anything. */
    readonly deadline: () => number | undefined;
    /** Sends a start order; returns the worker's clock. */
    readonly start: (order: Omit<StartOrder, "token" | "deadline">) => Promise<Result<number, OrderError>>;
    /**
     * Repeats a stop order until the worker has answered, can't run the task any more, or the session has ended; true if
     * it answered.
     */
    readonly stop: (task: TaskName, run: number) => Promise<boolean>;
    /** Lets a run work at `percent` of its speed; true if the worker answered. */
    readonly throttle: (task: TaskName, run: number, percent: number) => Promise<boolean>;
    /** Records that a start of an earlier holder has no answer. */
    readonly expectStart: (start: ExpectedStart) => void;
    /**
     * Records that all ends up to `number` of the incarnation that started at `bornAt` are stored, so that it may forget
     * them. Has no effect if that is not the one in contact, which numbers its own ends.
     */
    readonly recordEnds: (bornAt: number, number: number) => void;
    /**
     * Records that the worker has refused `token` although the cell has had no later holder: it has seen a higher token of
     * this one, or one that no holder of the cell has used.
     */
    readonly recordFence: (token: number) => void;
    /** See `WorkerClock.beginProof`. */
    readonly beginProof: () => () => void;
    /** Sends a new deadline if the worker's current one expires soon. */
    readonly extendLease: () => Promise<void>;
    /** Polls the worker until `signal` aborts; may be called again after that. */
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** Events of a session that its cell handles. */
export interface SessionEvents {
    /**
     * The worker has answered a poll that was sent at `sentAt` (monotonic time in ms). `isFirst`: it is the first
     * report of the epoch and incarnation.
     */
    readonly onReport: (session: WorkerSession, report: WorkerReport, sentAt: number, isFirst: boolean) => void;
    /** The worker has restarted, some `age` ms ago; its next report shows what runs there. */
    readonly onRestarted: (session: WorkerSession, age: number) => void;
    /**
     * Nothing that ran on the worker still runs: its leases have expired, or it has been replaced. `hasCrashed`:
     * its process has ended, and it had not announced that.
     */
    readonly onLapsed: (session: WorkerSession, hasCrashed: boolean) => void;
    /** The worker refused an order with `token` because it has seen a higher one, such as that of a later holder. */
    readonly onFenced: (session: WorkerSession, token: number) => void;
    /** The result of `contact` has changed. */
    readonly onContactChange: (session: WorkerSession) => void;
}

/** Options of {@link createWorkerSession}. */
export interface WorkerSessionOptions {
    readonly entry: WorkerEntry;
    readonly epoch: number;
    readonly gateway: WorkerGateway;
    readonly timing: CellTiming;
    readonly logger: Logger;
    readonly events: SessionEvents;
    /** Whether the worker has runs, including those that are about to start. */
    readonly isBusy: () => boolean;
    /** Whether tasks on the worker may interfere with each other, which requires frequent reports. */
    readonly mayInterfere: () => boolean;
    readonly lateOrderDetector: LateOrderDetector;
    /** The leases that earlier holders granted. */
    readonly inheritedLeases: () => InheritedLeases;
    /**
     * Whether the worker may get a new lease: not while the next holder may read that its leases expire at an earlier time.
     */
    readonly mayExtendLease: () => boolean;
    /** See `ProcessDelay.recent`. */
    readonly processDelay: () => number;
    /** Shared by all sessions of the host. */
    readonly pollBudget: PollBudget;
}

/**
 * Milliseconds between polls while an unanswered start may still be carried out: a new incarnation of the worker has to
 * receive a higher token before that start reaches it.
 */
const pendingStartInterval = 200;
/** As `pendingStartInterval`, after a poll that failed: the worker may be restarting. */
const pendingStartRetryInterval = 50;
/** Milliseconds to wait for ends to be stored before the next poll, which would only list them again. */
const storeWait = 500;
/** Milliseconds between attempts to send a stop that is not answered. */
const stopRetryInterval = 300;
/** Remaining share of a lease below which the lease is extended. */
const extensionShare = 0.6;
/** Milliseconds after an extension was sent, plus the delay of the process, until it is repeated without an answer. */
const extensionRetryInterval = 450;
/** Milliseconds after an unanswered call within which an answer to another call shows that the worker was reachable. */
const lateOrderSignTime = 3_000;
/** Milliseconds after the last lease's expiry until tasks may run elsewhere; covers the time to read an answer. */
const lapseMargin = 100;
/**
 * Milliseconds for which a report proves that the worker's incarnation goes on: too short for a worker to restart,
 * receive a task and end it. Starts that are sent later than this after an unanswered acknowledgement have a higher
 * token, so that a new incarnation that runs them refuses the acknowledgement.
 */
const incarnationProofTime = 100;

/** Creates the session of a worker; it polls once `run` is called. */
export const createWorkerSession = (options: WorkerSessionOptions): WorkerSession => {
    const { epoch, gateway, timing, logger, events, isBusy, lateOrderDetector, processDelay, pollBudget } = options;
    const { mayExtendLease } = options;
    const lease = leaseDuration(timing);
    const clock = createWorkerClock(lease, timing.clockDrift);
    const wakeUp = createWakeUp();
    /** Ends the pause of a worker without runs. */
    const idleWakeUp = createWakeUp();
    const wake = (): void => {
        wakeUp.notify();
        idleWakeUp.notify();
    };
    const tokens = createOrderTokens(epoch);
    const pacing = createPollPacing(options);
    const pendingStarts = createPendingStarts({ lateOrderTime: timing.lateOrderTime, lateOrderDetector });
    const listing = createWorkerListing();
    const newLeaseExpiry = (inherited: () => InheritedLeases): LeaseExpiry =>
        createLeaseExpiry({
            longestLease: timing.longestLease,
            grantedLease: lease,
            clockDrift: timing.clockDrift,
            maxDeliveryDelay: sentAt =>
                lateOrderDetector.mayBeDelayed(sentAt) && !listing.isGone() ? timing.lateOrderTime : 0,
            inherited,
            isGone: listing.isGone,
        });
    let leaseExpiry = newLeaseExpiry(options.inheritedLeases);
    let entry = options.entry;
    let entryAt = performance.now();
    let contact: ContactState = "unknown";
    let bornAt: number | undefined;
    /**
     * Unix time in ms of the worker's latest known start, also while no incarnation is accounted for; undefined if it
     * is not known. A worker on the roster of an earlier holder may have restarted since that was written.
     */
    let latestBirth = entry.bornAt > 0 ? entry.bornAt : undefined;
    /** Number up to which all ends are stored. */
    let recordedEnd = 0;
    /** Number of the last end that a report listed. */
    let listedEnd = 0;
    /** Number of runs that the last report listed. */
    let listedRuns = 0;
    /** Whether some ends of the current incarnation have not been listed since its first report. */
    let lacksEnds = false;
    /** Whether the last report listed all ends. */
    let hadAllEnds = true;
    /** Number of the last end whose acknowledgement the worker has confirmed. */
    let acknowledgedEnd = 0;
    /** Latest deadline that the worker has confirmed, in ms on its clock. */
    let grantedDeadline = 0;
    /** Deadline of the extensions that have been sent since the worker's last report, in ms on its clock. */
    let requestedDeadline: number | undefined;
    let consecutiveFailures = 0;
    let failingSince: number | undefined;
    /** Monotonic time in ms of the last unanswered call, or -Infinity if a report came since. */
    let unansweredAt = -Infinity;
    /** Monotonic time in ms at which the current incarnation last reported or was detected. */
    let incarnationSeenAt = -Infinity;
    /** Monotonic time in ms at which the worker last lapsed. */
    let lapsedAt = -Infinity;
    /** Monotonic time in ms at which the last answered poll was sent. */
    let reportSentAt = -Infinity;
    /** Monotonic time in ms up to which a start order other than the pending ones may have been carried out. */
    let startedUntil = -Infinity;
    /** Monotonic time in ms at which a lease extension was last requested, while it has no answer; else -Infinity. */
    let extendingSince = -Infinity;
    /** Monotonic times in ms of the unanswered starts of earlier holders, until the worker's first report. */
    let expectedStarts: readonly number[] = [];
    /** Aborts when the session ends; undefined before it runs. */
    let endSignal: AbortSignal | undefined;

    const setContact = (next: ContactState, details: object): void => {
        if (next !== contact) {
            logger.info({ worker: entry.id, epoch, from: contact, to: next, ...details }, "worker contact changed");
            contact = next;
            events.onContactChange(session);
        }
    };
    const resetIncarnation = (): void => {
        tokens.raise();
        clock.reset();
        recordedEnd = 0;
        listedEnd = 0;
        lacksEnds = false;
        hadAllEnds = true;
        acknowledgedEnd = 0;
        grantedDeadline = 0;
        requestedDeadline = undefined;
    };
    /** The entry without its labels if it is that of an earlier incarnation: a later one may be of another kind. */
    const withValidLabels = (next: WorkerEntry): WorkerEntry =>
        next.bornAt > 0 && next.bornAt < (bornAt ?? 0) ? { ...next, labels: [] } : next;
    /** Records that another incarnation has answered than the one in contact. */
    const recordRestart = (details: object): void => {
        const formerDeadlines = leaseExpiry.recordRestart();
        resetIncarnation();
        const leasedFor = Math.max(0, Math.round(leaseExpiry.expiresAt() - performance.now()));
        setContact("unknown", { ...details, formerDeadlines, leasedFor });
        wake();
    };
    /**
     * Handles a possible restart of the worker. The registered runs may run in the new incarnation all the same, since
     * orders reach whichever incarnation has the id; the next report shows it. An older time of the worker's start
     * comes from an outdated entry or answer and is ignored.
     */
    const updateIncarnation = (newBornAt: number): void => {
        if (latestBirth !== undefined && newBornAt > latestBirth) {
            // Without contact to the previous incarnation, it may have ended long ago.
            const age = bornAt === undefined ? Math.max(0, Date.now() - newBornAt) : 0;
            recordRestart({ reason: "the worker has restarted", bornAt: latestBirth, newBornAt });
            bornAt = newBornAt;
            latestBirth = newBornAt;
            incarnationSeenAt = performance.now();
            entry = withValidLabels(entry);
            events.onRestarted(session, age);
        }
    };
    /** Tells the lease expiry when the incarnation that an entry names started, while it has not answered this holder. */
    const recordUnknownBirth = (unixTime: number): void => {
        if (contact === "unknown" && bornAt === undefined) {
            leaseExpiry.recordBirth(performance.now() - Math.max(0, Date.now() - unixTime));
        }
    };
    recordUnknownBirth(entry.bornAt);
    const markLapsed = (hasProcessEnded: boolean, details: object): void => {
        setContact("lapsed", details);
        lapsedAt = performance.now();
        resetIncarnation();
        bornAt = undefined;
        leaseExpiry = newLeaseExpiry(() => noLeases);
        events.onLapsed(session, hasProcessEnded && !entry.isDraining);
    };
    /** Milliseconds until nothing can run any more on a worker that does not answer; undefined while it may answer. */
    const untilLapse = (): number | undefined =>
        failingSince !== undefined && (contact === "silent" || contact === "unknown")
            ? leaseExpiry.expiresAt() + lapseMargin - performance.now()
            : undefined;
    const lapseIfOver = (error?: OrderError["kind"]): void => {
        if ((untilLapse() ?? 0) < 0) {
            markLapsed(error === "closed", { error, reason: "no answer until its leases expired" });
        }
    };
    /**
     * Whether another worker has answered at the address, which ends all runs of this one. The answer to a poll that
     * was sent before this worker last reported may come from the previous worker at the address, and is ignored.
     */
    const isReplaced = (error: OrderError, sentAt: number): boolean =>
        error.kind === "reborn" && sentAt > incarnationSeenAt && contact !== "lapsed";
    const countFailure = (error: OrderError): void => {
        consecutiveFailures += 1;
        failingSince ??= performance.now();
        unansweredAt = error.kind === "unknown" ? performance.now() : unansweredAt;
        if (consecutiveFailures >= 2 && contact === "known") {
            setContact("silent", {
                error: error.kind,
                leasedFor: Math.max(0, Math.round(leaseExpiry.expiresAt() - performance.now())),
            });
        }
        lapseIfOver(error.kind);
    };
    const handleFailure = (error: OrderError, sentAt: number, sentToken: number): void => {
        if (error.kind === "fenced") {
            if (sentToken === tokens.current()) {
                events.onFenced(session, sentToken);
            }
            return;
        }
        if (isReplaced(error, sentAt)) {
            markLapsed(true, { error: error.kind, reason: "another worker answers at its address" });
            return;
        }
        countFailure(error);
    };
    const updateEndList = ({ ended, hasAllEnds }: WorkerReport, isFirst: boolean): void => {
        lacksEnds = (isFirst || lacksEnds) && !hasAllEnds;
        if (hasAllEnds !== hadAllEnds) {
            hadAllEnds = hasAllEnds;
            logger.info(
                { worker: entry.id, epoch, ended: ended.length, isFirst },
                hasAllEnds
                    ? "the worker's report lists all of its ends again"
                    : "the worker has more ends than its report lists; its other runs are kept until they are listed",
            );
        }
    };
    const applyReport = (report: WorkerReport, sentAt: number, sentToken: number): void => {
        updateIncarnation(report.bornAt);
        if (report.bornAt < (bornAt ?? 0)) {
            return;
        }
        bornAt = report.bornAt;
        latestBirth = report.bornAt;
        leaseExpiry.recordToken(sentToken);
        leaseExpiry.recordAlive(sentAt);
        incarnationSeenAt = performance.now();
        reportSentAt = sentAt;
        requestedDeadline = undefined;
        if (contact === "known" && performance.now() - unansweredAt < lateOrderSignTime) {
            lateOrderDetector.recordSign();
        }
        unansweredAt = -Infinity;
        expectedStarts.forEach(lateOrderDetector.recordSign);
        expectedStarts = [];
        if (pendingStarts.removeListed(report)) {
            startedUntil = performance.now();
        }
        clock.recordReading(report.clock);
        listedEnd = Math.max(listedEnd, ...report.ended.map(row => row.number));
        listedRuns = report.running.length;
        const isFirst = contact === "unknown" || contact === "lapsed";
        updateEndList(report, isFirst);
        // The report has to be applied before the contact is `known`, which allows starts on the worker.
        events.onReport(session, report, sentAt, isFirst);
        // A report that can't be applied counts as a failed poll.
        consecutiveFailures = 0;
        failingSince = undefined;
        setContact("known", { running: report.running.length, ended: report.ended.length });
    };
    const hasUnacknowledgedEnds = (): boolean => recordedEnd > acknowledgedEnd;
    /**
     * Whether ends may be acknowledged. A new incarnation that this holder doesn't know yet would number its ends from
     * the start, and the acknowledgement would make it forget ends that have not been stored.
     */
    const isIncarnationProven = (): boolean =>
        performance.now() - incarnationSeenAt < incarnationProofTime
        || consecutiveFailures === 0 && Math.max(startedUntil, pendingStarts.latestArrival()) < reportSentAt;
    const poll = async (wait: number, deadline?: number): Promise<boolean> => {
        const sentAt = performance.now();
        const sentToken = tokens.current();
        const endDeadline = deadline === undefined
            ? undefined
            : leaseExpiry.recordDeadlineSent(clock.timeUntil(deadline), sentToken);
        requestedDeadline = deadline ?? requestedDeadline;
        const endToAcknowledge = hasUnacknowledgedEnds() && isIncarnationProven() ? recordedEnd : 0;
        const supersedeTimer = endToAcknowledge > 0
            ? setTimeout(tokens.supersede, incarnationProofTime, sentToken)
            : undefined;
        const report = await gateway.poll(entry, {
            token: sentToken,
            recordedEnd: endToAcknowledge,
            ...(wait > 0 ? { wait } : {}),
            ...(deadline === undefined ? {} : { deadline }),
        }).finally(() => {
            clearTimeout(supersedeTimer);
            endDeadline?.(false);
        });
        if (report.isErr) {
            if (report.error.kind === "unknown" && (endToAcknowledge > 0 || deadline !== undefined)) {
                tokens.supersede(sentToken);
            }
            handleFailure(report.error, sentAt, sentToken);
            return false;
        }
        if (sentAt < lapsedAt) {
            // What it reports ended with the leases, which have expired since.
            return false;
        }
        endDeadline?.();
        tokens.recordAccepted();
        acknowledgedEnd = Math.max(acknowledgedEnd, endToAcknowledge);
        if (deadline !== undefined) {
            grantedDeadline = Math.max(grantedDeadline, deadline);
        }
        applyReport(report.value, sentAt, sentToken);
        return true;
    };
    /**
     * As `poll`; an exception must not end the polls of the worker. It counts as a poll without answer, so that a worker
     * whose polls always throw lapses.
     */
    const pollSafely = async (wait: number, deadline?: number): Promise<boolean> => {
        try {
            return await poll(wait, deadline);
        }
        catch (error) {
            const stack = error instanceof Error ? error.stack : undefined;
            logger.error(
                { worker: entry.id, epoch, contact, error: String(error), stack },
                "a poll failed with an exception and counts as unanswered; report it as a bug",
            );
            countFailure({ kind: "unknown", message: String(error) });
            return false;
        }
    };
    /** Milliseconds for which the worker may delay its answer to the next poll. */
    const nextWait = (): number => {
        // An acknowledgement has to be answered at once, see `incarnationProofTime`.
        const canWait = contact === "known" && consecutiveFailures === 0 && isBusy() && listedEnd <= recordedEnd
            && !hasUnacknowledgedEnds();
        return canWait && !pendingStarts.hasAny() ? pacing.wait() : 0;
    };
    const pollUrgency = (): PollUrgency => {
        const isFirst = contact === "unknown" && consecutiveFailures === 0;
        if (isFirst && expectedStarts.length > 0) {
            return "expected-start";
        }
        if (pendingStarts.hasAny()) {
            return "pending-start";
        }
        return isFirst ? "first" : contact === "known" ? "routine" : "retry";
    };
    /** Sends the next poll once the budget has a place for it. Returns whether it was answered. */
    const pollInTurn = async (signal: AbortSignal): Promise<boolean> => {
        // Answers after a wait come spread over time, and an acknowledgement has to follow its report at once.
        const needsPlace = nextWait() === 0 && !hasUnacknowledgedEnds();
        const leavePlace = needsPlace ? await pollBudget.admit(pollUrgency, signal) : undefined;
        if (signal.aborted) {
            leavePlace?.();
            return false;
        }
        const answered = pollSafely(nextWait()).finally(leavePlace);
        const untilOver = untilLapse();
        // The end of the leases does not wait for the end of a poll.
        const lapseTimer = untilOver === undefined ? undefined : setTimeout(lapseIfOver, Math.max(0, untilOver) + 1);
        void answered.finally(() => {
            clearTimeout(lapseTimer);
        });
        if (!pendingStarts.hasAny()) {
            return await answered;
        }
        // A poll that is lost or carried out late must not keep the next one from a new incarnation. While the process is
        // late, the answer may have arrived without having been read.
        const longestWait = 2 * pendingStartInterval + processDelay();
        return await Promise.race([answered, sleep(longestWait, signal).then(() => false)]);
    };
    const pause = async (wasAnswered: boolean, signal: AbortSignal): Promise<void> => {
        if (!wasAnswered) {
            await sleep(pendingStarts.hasAny() ? pendingStartRetryInterval : pacing.retryInterval(), signal);
        }
        else if (listedEnd > recordedEnd) {
            await wakeUp.wait(pendingStarts.hasAny() ? pendingStartInterval : storeWait, signal);
        }
        else if (hasUnacknowledgedEnds()) {
            // The poll proved that the incarnation goes on; the acknowledgement has to follow shortly after.
            return;
        }
        else if (pendingStarts.hasAny()) {
            await wakeUp.wait(pendingStartInterval, signal);
        }
        else if (isBusy()) {
            await sleep(pacing.endGatherTime(), signal);
        }
        else {
            await idleWakeUp.wait(pacing.idleInterval(), signal);
        }
    };
    /** The deadline to send if the worker's current one expires soon; else undefined. */
    const deadlineToExtend = (): number | undefined => {
        // A later one would lengthen the wait for the leases of a worker that does not answer any more.
        const isRepeated = requestedDeadline !== undefined
            && clock.timeUntil(requestedDeadline) > lease * (1 - extensionShare);
        const deadline = isRepeated ? requestedDeadline : clock.deadline();
        const isShort = clock.timeUntil(grantedDeadline) < lease * extensionShare;
        return contact === "known" && isBusy() && mayExtendLease() && deadline !== undefined
                && deadline > grantedDeadline && isShort
            ? deadline
            : undefined;
    };
    /**
     * Whether nothing runs on the worker and all ends there are stored, according to its last report: no start was sent
     * since, and none without an answer can still be carried out.
     */
    const isProvenIdle = (): boolean =>
        (contact === "known" || contact === "silent") && !isBusy() && listedRuns === 0 && !lacksEnds && hadAllEnds
        && listedEnd <= recordedEnd && !pendingStarts.hasAny();
    /** Whether the worker needs no wait for its leases, since it gets no starts and nothing runs there. */
    const holdsNoTask = (): boolean => isProvenIdle() && (contact === "silent" || entry.isDraining);
    const session: WorkerSession = {
        id: entry.id,
        entry: () => entry,
        entryAt: () => entryAt,
        contact: () => contact,
        mayHaveUnknownRuns: () => contact === "unknown" || lacksEnds,
        failingSince: () => failingSince,
        leasedFor: () => {
            if (holdsNoTask()) {
                return 0;
            }
            // A worker for which the stored roster tells this already gets no new lease before it answers.
            const mayAnswer = contact === "unknown" && failingSince === undefined && mayExtendLease();
            return contact === "known" || mayAnswer
                ? undefined
                : Math.max(0, leaseExpiry.expiresIfPrompt() + lapseMargin - performance.now());
        },
        lateFor: () => {
            const lateFor = leaseExpiry.expiresAt() + lapseMargin - performance.now();
            return session.leasedFor() !== undefined && !holdsNoTask() && lateFor > 0
                    && leaseExpiry.expiresAt() > leaseExpiry.expiresIfPrompt()
                ? lateFor
                : undefined;
        },
        beginProof: clock.beginProof,
        setEntry: next => {
            listing.recordRead(next !== undefined);
            if (next !== undefined) {
                // An unchanged `remaining` still counts from the time at which it was first read.
                entryAt = next.remaining === entry.remaining ? entryAt : performance.now();
                if (bornAt !== undefined) {
                    updateIncarnation(next.bornAt);
                }
                else if (next.bornAt > (latestBirth ?? 0)) {
                    recordUnknownBirth(next.bornAt);
                }
                entry = withValidLabels(next);
            }
        },
        deadline: () => {
            const deadline = clock.deadline();
            // A start too close to its deadline would arrive after it.
            return contact === "known" && mayExtendLease() && deadline !== undefined
                    && clock.timeUntil(deadline) > lease * (1 - extensionShare)
                ? deadline
                : undefined;
        },
        start: async order => {
            const deadline = clock.deadline() ?? 0;
            startedUntil = performance.now();
            let sentToken = tokens.current();
            let sentAt = performance.now();
            let endDeadline: (isAnswered?: boolean) => void = () => undefined;
            const result = await tokens.send(token => {
                sentToken = token;
                sentAt = performance.now();
                endDeadline();
                endDeadline = leaseExpiry.recordDeadlineSent(clock.timeUntil(deadline), token);
                return gateway.start(entry, { ...order, token, deadline });
            });
            startedUntil = performance.now();
            const isAnswered = result.isOk || result.error.kind !== "unknown";
            endDeadline(isAnswered);
            if (!isAnswered) {
                unansweredAt = performance.now();
                pendingStarts.add({ task: order.task, run: order.run, orderedAt: unansweredAt });
                tokens.supersede(sentToken);
                wake();
            }
            if (result.isOk && clock.isOfOtherIncarnation(result.value, sentAt)) {
                // The next report tells when it started, and what runs there.
                recordRestart({ reason: "the worker's clock has started anew", clock: result.value });
            }
            else if (result.isOk) {
                clock.recordReading(result.value);
                grantedDeadline = Math.max(grantedDeadline, deadline);
                // A poll of a worker whose ends are being stored would only list them again.
                idleWakeUp.notify();
            }
            else if (result.error.kind === "fenced") {
                events.onFenced(session, sentToken);
            }
            return result;
        },
        stop: async (task, run) => {
            let leavePlace: (() => void) | undefined;
            while (contact !== "lapsed" && endSignal?.aborted !== true) {
                let sentToken = tokens.current();
                const result = await tokens.send(token => {
                    sentToken = token;
                    return gateway.stop(entry, { task, run, token });
                });
                leavePlace?.();
                if (result.isOk) {
                    wake();
                    return true;
                }
                if (result.error.kind === "fenced") {
                    events.onFenced(session, sentToken);
                    return false;
                }
                await sleep(stopRetryInterval, endSignal);
                leavePlace = await pollBudget.admit(() => "repeated-stop", endSignal);
            }
            leavePlace?.();
            return false;
        },
        throttle: async (task, run, percent) => {
            const leavePlace = await pollBudget.admit(() => "pace", endSignal);
            if (endSignal?.aborted === true) {
                return false;
            }
            const result = await tokens.send(token => gateway.throttle(entry, { task, run, token, percent }));
            leavePlace();
            return result.isOk;
        },
        expectStart: start => {
            pendingStarts.add(start);
            expectedStarts = [...expectedStarts, start.orderedAt];
            wake();
        },
        recordFence: token => {
            const hasHigher = tokens.outrun(token);
            logger.warn(
                { worker: entry.id, epoch, refused: token, next: tokens.current() },
                hasHigher
                    ? "the worker has seen a higher token, though this holder's lease goes on; raising the token"
                    : "the worker refuses the highest token of this holder; it is used again under the next one",
            );
            if (!hasHigher) {
                countFailure({ kind: "fenced", message: `the worker refuses token ${String(token)}` });
            }
        },
        recordEnds: (endsBornAt, number) => {
            if (endsBornAt === bornAt && number > recordedEnd) {
                recordedEnd = number;
                wake();
            }
        },
        extendLease: async () => {
            const isRequested = performance.now() - extendingSince < extensionRetryInterval + processDelay();
            if (isRequested || deadlineToExtend() === undefined) {
                return;
            }
            const requestedAt = performance.now();
            extendingSince = requestedAt;
            const leavePlace = await pollBudget.admit(() => "lease", endSignal);
            const hasEnded = (): boolean => endSignal?.aborted === true;
            // A worker that may be down gets no longer lease, since its tasks would have to wait for the end of that one.
            const isReachable = unansweredAt === -Infinity || !hasEnded() && await pollSafely(0);
            const deadline = deadlineToExtend();
            if (isReachable && deadline !== undefined && !hasEnded()) {
                await pollSafely(0, deadline);
            }
            leavePlace();
            extendingSince = extendingSince === requestedAt ? -Infinity : extendingSince;
        },
        run: async signal => {
            endSignal = signal;
            while (!signal.aborted) {
                await pause(await pollInTurn(signal), signal);
            }
            if (endSignal === signal) {
                gateway.disconnect(entry);
            }
        },
    };
    return session;
};
