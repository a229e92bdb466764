import type { WorkerId } from "@jayfront/world";
import { createWakeUp, sleep } from "@jayfront/world";
import type { Logger } from "pino";
import type { Result } from "true-myth";

import type { TaskName } from "../model/task-name.js";
import type { WorkerEntry } from "../model/worker-entry.js";
import type { OrderError, StartOrder, WorkerGateway, WorkerReport } from "../port/worker-gateway.js";
import type { CellTiming } from "./cell-timing.js";
import { leaseDuration } from "./cell-timing.js";
import type { LateOrderDetector } from "./late-order-detector.js";
import type { LeaseExpiry } from "./lease-expiry.js";
import { createLeaseExpiry } from "./lease-expiry.js";
import { createWorkerClock } from "./worker-clock.js";

/**
 * What this holder knows of a worker: `unknown` until it has answered under this epoch, `known` while all that it
 * runs is accounted for, `silent` since it stopped answering, `lapsed` once nothing can run there any more.
 */
export type ContactState = "unknown" | "known" | "silent" | "lapsed";

/** The task of a cell's holder that looks after one worker. */
export interface WorkerSession {
    readonly id: WorkerId;
    readonly entry: () => WorkerEntry;
    /** Steady ms at which the entry was read. */
    readonly entryAt: () => number;
    readonly setEntry: (entry: WorkerEntry | undefined) => void;
    readonly contact: () => ContactState;
    /** Deadline for starts on the worker's clock; undefined where it may not start anything. */
    readonly deadline: () => number | undefined;
    readonly start: (order: Omit<StartOrder, "token" | "deadline">) => Promise<Result<number, OrderError>>;
    /** Orders a stop until the worker has answered or can't run the task any more; true where it answered. */
    readonly stop: (task: TaskName, run: number) => Promise<boolean>;
    readonly throttle: (task: TaskName, run: number, percent: number) => Promise<boolean>;
    /** All ends up to `number` are stored; the worker may forget them. */
    readonly recordEnds: (number: number) => void;
    /** See {@link createWorkerClock}. */
    readonly beginProof: () => () => void;
    /** Sends a new deadline where the one that the worker has runs out soon. */
    readonly extendLease: () => Promise<void>;
    readonly run: (signal: AbortSignal) => Promise<void>;
}

/** What a session tells its cell. */
export interface SessionEvents {
    /** `sentAt`: time of the steady clock at which the look was sent. `isFirst`: the first one under this epoch and life. */
    readonly onReport: (session: WorkerSession, report: WorkerReport, sentAt: number, isFirst: boolean) => void;
    /** The worker has started anew; its next report tells what runs there. */
    readonly onRestarted: (session: WorkerSession) => void;
    /** Nothing that ran there goes on: its leases have run out. */
    readonly onLapsed: (session: WorkerSession) => void;
    /** The worker obeys a higher epoch. */
    readonly onFenced: (session: WorkerSession) => void;
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
    /** Whether something runs or is about to run on the worker. */
    readonly isBusy: () => boolean;
    /** Whether tasks on the worker may disturb each other, so that its figures have to be fresh. */
    readonly mayInterfere: () => boolean;
    readonly lateOrderDetector: LateOrderDetector;
    /** Milliseconds on the steady clock until which an earlier holder's leases may last. */
    readonly inheritedLeasesUntil: number;
}

/** Milliseconds that a worker may wait for an end before it answers a look; longer would hide a silent connection. */
const lookWait = 1_000;
/** As `lookWait`, where tasks may disturb each other; the worker's figures cover the last half second. */
const watchWait = 400;
/** Milliseconds after a look in which further ends gather, so that a look finds several. */
const gatherTime = 25;
/** Milliseconds between looks at a worker that runs nothing; keeps its clock's reading fresh. */
const idleInterval = 2_000;
/** Milliseconds between attempts to reach a worker that does not answer. */
const silentInterval = 400;
/**
 * Milliseconds between looks while a start without answer may still be carried out: a new life of the worker must be
 * called before that start reaches it.
 */
const suspectInterval = 200;
/** Milliseconds to wait for ends to be stored before the next look, which would only list them again. */
const recordWait = 500;
/** Milliseconds between attempts at a stop without answer. */
const stopInterval = 300;
/** Tokens of one epoch, one for each life of a worker under one holder; a later holder's are all higher. */
const tokensPerEpoch = 1_024;
/** Remaining share of a lease below which it is extended. */
const extensionShare = 0.6;
/** Milliseconds after a call without answer within which another answer shows that the worker was not away. */
const lateOrderSign = 3_000;
/** Milliseconds added to a lapsed lease before its tasks run elsewhere; covers the time to read the answer. */
const lapseMargin = 100;
/**
 * Milliseconds for which a report vouches for the worker's life: too short for a worker to start anew, be given a task
 * and end it.
 */
const lifeProofTime = 100;

/** Creates the session of a worker; `run` starts it. */
export const createWorkerSession = (options: WorkerSessionOptions): WorkerSession => {
    const { epoch, gateway, timing, logger, events, isBusy, mayInterfere, lateOrderDetector } = options;
    const lease = leaseDuration(timing);
    const clock = createWorkerClock(lease, timing.clockDrift);
    const wake = createWakeUp();
    const newHorizon = (initial: number): LeaseExpiry =>
        createLeaseExpiry({
            longestLease: timing.longestLease,
            clockDrift: timing.clockDrift,
            maxDeliveryDelay: sentAt => lateOrderDetector.mayBeDelayed(sentAt) ? timing.lateOrderTime : 0,
            initialExpiry: initial,
        });
    let horizon = newHorizon(options.inheritedLeasesUntil);
    let entry = options.entry;
    let entryAt = performance.now();
    let isUnlisted = false;
    let contact: ContactState = "unknown";
    let bornAt: number | undefined;
    let recordedEnd = 0;
    let listedEnd = 0;
    /** Number of the last end that the worker is known to have forgotten. */
    let acknowledgedEnd = 0;
    /** Deadline that the worker is known to have. */
    let grantedDeadline = 0;
    let failures = 0;
    let lives = 0;
    /** Steady ms of the last call without answer. */
    let unansweredAt = -Infinity;
    /** Steady ms at which the present life was last heard or learned of. */
    let lifeSeenAt = -Infinity;
    /** Steady ms at which the last look that was answered had been sent. */
    let reportSentAt = -Infinity;
    /** Steady ms until which a start that no report has told of may have been carried out. */
    let startedUntil = -Infinity;
    /** Steady ms of the last start without answer. */
    let unansweredStartAt = -Infinity;

    const setContact = (next: ContactState, details: object): void => {
        if (next !== contact) {
            logger.info({ worker: entry.id, epoch, from: contact, to: next, ...details }, "worker contact changed");
            contact = next;
            events.onContactChange(session);
        }
    };
    /**
     * Token of orders to the present life. It rises with each life, so that an order to a former one that is carried out
     * late does nothing once the present one has been called.
     */
    const token = (): number => epoch * tokensPerEpoch + Math.min(lives, tokensPerEpoch - 1);
    const forgetLife = (): void => {
        lives += 1;
        clock.reset();
        recordedEnd = 0;
        listedEnd = 0;
        acknowledgedEnd = 0;
        grantedDeadline = 0;
    };
    /**
     * Takes note of a new life. What we believe to run may run there all the same, since orders reach whoever lives
     * under the id; the next report tells. An older birth comes from an entry or an answer that is late.
     */
    const noteBirth = (born: number): void => {
        if (bornAt !== undefined && born > bornAt) {
            setContact("unknown", { reason: "the worker has started anew", bornAt, born });
            forgetLife();
            bornAt = born;
            lifeSeenAt = performance.now();
            events.onRestarted(session);
            wake.notify();
        }
    };
    /** Whether a worker that said it would leave has done so, which ends all that it ran, whatever its leases say. */
    const hasLeftAsAnnounced = (error: OrderError): boolean =>
        error.kind === "closed" && isUnlisted && entry.isDraining
        && performance.now() - entryAt > (entry.remaining ?? Infinity);
    const noteLapse = (details: object): void => {
        setContact("lapsed", details);
        forgetLife();
        bornAt = undefined;
        horizon = newHorizon(0);
        events.onLapsed(session);
    };
    /**
     * Another worker has answered at the address, which ends all that this one ran. An answer to a look that was sent
     * before this worker was last heard may come from one that had the address before.
     */
    const isReplaced = (error: OrderError, sentAt: number): boolean =>
        error.kind === "reborn" && sentAt > lifeSeenAt && contact !== "lapsed";
    const noteFailure = (error: OrderError, sentAt: number): void => {
        if (error.kind === "fenced") {
            events.onFenced(session);
            return;
        }
        if (isReplaced(error, sentAt)) {
            noteLapse({ error: error.kind, reason: "another worker answers at its address" });
            return;
        }
        failures += 1;
        unansweredAt = error.kind === "unknown" ? performance.now() : unansweredAt;
        if (failures >= 2 && contact === "known") {
            setContact("silent", { error: error.kind, leasedFor: Math.round(horizon.expiresAt() - performance.now()) });
        }
        const hasLeft = hasLeftAsAnnounced(error);
        const isOver = hasLeft || performance.now() > horizon.expiresAt() + lapseMargin;
        if (isOver && (contact === "silent" || contact === "unknown")) {
            const reason = hasLeft ? "it left as it had announced" : "no answer until its leases ran out";
            noteLapse({ error: error.kind, reason });
        }
    };
    const takeReport = (report: WorkerReport, sentAt: number): void => {
        noteBirth(report.bornAt);
        if (report.bornAt < (bornAt ?? 0)) {
            return;
        }
        bornAt = report.bornAt;
        lifeSeenAt = performance.now();
        reportSentAt = sentAt;
        failures = 0;
        if (contact === "known" && performance.now() - unansweredAt < lateOrderSign) {
            lateOrderDetector.recordSign();
        }
        unansweredAt = -Infinity;
        clock.recordReading(report.clock);
        listedEnd = Math.max(listedEnd, ...report.ended.map(row => row.number));
        const isFirst = contact === "unknown" || contact === "lapsed";
        // The report is taken in before anybody can start tasks on the strength of the contact.
        events.onReport(session, report, sentAt, isFirst);
        setContact("known", { running: report.running.length, ended: report.ended.length });
    };
    const hasNewlyRecorded = (): boolean => recordedEnd > acknowledgedEnd;
    /**
     * Whether ends may be acknowledged. A later life, of which this holder doesn't know yet, numbers its ends anew: it
     * would forget those of tasks that it was given meanwhile.
     */
    const isLifeProven = (): boolean =>
        performance.now() - lifeSeenAt < lifeProofTime || failures === 0 && startedUntil < reportSentAt;
    const look = async (wait: number, deadline?: number): Promise<boolean> => {
        const sentAt = performance.now();
        const answered = deadline === undefined ? undefined : horizon.recordDeadlineSent(clock.timeUntil(deadline));
        const newlyRecorded = hasNewlyRecorded() && isLifeProven() ? recordedEnd : 0;
        const report = await gateway.look(entry, {
            token: token(),
            recordedEnd: newlyRecorded,
            ...(wait > 0 ? { wait } : {}),
            ...(deadline === undefined ? {} : { deadline }),
        });
        if (report.isErr) {
            noteFailure(report.error, sentAt);
            return false;
        }
        answered?.();
        acknowledgedEnd = Math.max(acknowledgedEnd, newlyRecorded);
        if (deadline !== undefined) {
            grantedDeadline = Math.max(grantedDeadline, deadline);
        }
        takeReport(report.value, sentAt);
        return true;
    };
    /** Whether a start without answer may still be carried out. */
    const isStartPending = (): boolean =>
        performance.now() < startedUntil && lateOrderDetector.mayBeDelayed(unansweredStartAt);
    const pause = async (wasAnswered: boolean, signal: AbortSignal): Promise<void> => {
        if (!wasAnswered) {
            await sleep(isStartPending() ? suspectInterval : silentInterval, signal);
        }
        else if (listedEnd > recordedEnd) {
            await wake.wait(recordWait, signal);
        }
        else if (hasNewlyRecorded()) {
            // The look showed that the worker's life goes on, which the acknowledgement has to follow closely.
            return;
        }
        else if (isBusy()) {
            await sleep(gatherTime, signal);
        }
        else {
            await wake.wait(isStartPending() ? suspectInterval : idleInterval, signal);
        }
    };
    const session: WorkerSession = {
        id: entry.id,
        entry: () => entry,
        entryAt: () => entryAt,
        contact: () => contact,
        beginProof: clock.beginProof,
        setEntry: next => {
            isUnlisted = next === undefined;
            if (next !== undefined) {
                // An entry that stays the same still tells of the moment at which it was written.
                entryAt = next.remaining === entry.remaining ? entryAt : performance.now();
                entry = next;
                noteBirth(next.bornAt);
            }
        },
        deadline: () => {
            const deadline = clock.deadline();
            // A start close to its deadline would arrive late.
            return contact === "known" && deadline !== undefined
                    && clock.timeUntil(deadline) > lease * (1 - extensionShare)
                ? deadline
                : undefined;
        },
        start: async order => {
            const deadline = clock.deadline() ?? 0;
            const answered = horizon.recordDeadlineSent(clock.timeUntil(deadline));
            startedUntil = Math.max(startedUntil, performance.now());
            const result = await gateway.start(entry, { ...order, token: token(), deadline });
            startedUntil = Math.max(startedUntil, performance.now());
            if (result.isOk || result.error.kind !== "unknown") {
                answered();
            }
            else {
                unansweredAt = performance.now();
                unansweredStartAt = unansweredAt;
                startedUntil = unansweredAt + timing.lateOrderTime;
            }
            if (result.isOk) {
                clock.recordReading(result.value);
                grantedDeadline = Math.max(grantedDeadline, deadline);
                wake.notify();
            }
            else if (result.error.kind === "fenced") {
                events.onFenced(session);
            }
            return result;
        },
        stop: async (task, run) => {
            while (contact !== "lapsed") {
                const result = await gateway.stop(entry, { task, run, token: token() });
                if (result.isOk) {
                    wake.notify();
                    return true;
                }
                if (result.error.kind === "fenced") {
                    events.onFenced(session);
                    return false;
                }
                await sleep(stopInterval);
            }
            return false;
        },
        throttle: async (task, run, percent) =>
            (await gateway.throttle(entry, { task, run, token: token(), percent })).isOk,
        recordEnds: number => {
            recordedEnd = Math.max(recordedEnd, number);
            wake.notify();
        },
        extendLease: async () => {
            const deadline = clock.deadline();
            const isShort = clock.timeUntil(grantedDeadline) < lease * extensionShare;
            if (contact === "known" && isBusy() && deadline !== undefined && deadline > grantedDeadline && isShort) {
                await look(0, deadline);
            }
        },
        run: async signal => {
            while (!signal.aborted) {
                const isAcknowledging = !hasNewlyRecorded() || isLifeProven();
                const canWait = contact === "known" && failures === 0 && isBusy() && listedEnd <= recordedEnd
                    && isAcknowledging;
                const wasAnswered = await look(canWait ? mayInterfere() ? watchWait : lookWait : 0);
                await pause(wasAnswered, signal);
            }
            gateway.forget(entry);
        },
    };
    return session;
};
