/** What a poll is for, the most urgent first. */
export type PollUrgency =
    | "lease" // extends the lease of running tasks
    | "expected-start" // first poll of a worker that an earlier holder sent a start
    | "pace" // sets the pace of a run, which may harm others
    | "repeated-stop" // stops a run, after a stop that was not answered
    | "pending-start" // fences a start that may still be carried out
    | "first" // first poll of any other worker
    | "routine" // of a worker in contact that answers at once, such as one without runs
    | "retry"; // of a worker that did not answer

/**
 * Bounds the number of polls that a host has under way and that workers answer at once. A process that is short of
 * processor time reads answers late, so that it sends fewer polls; without the bound each poll would be sent although
 * the answers to earlier ones wait to be read.
 */
export interface PollBudget {
    /**
     * Resolves once a poll may be sent, or when `signal` aborts; to be called just before the poll. Polls go in the order
     * of their requests, urgent ones up to some 100 ms ahead, so that those of no worker have to wait for ever. The
     * returned function has to be called with the answer. `urgency` is called when there is a place.
     */
    readonly admit: (urgency: () => PollUrgency, signal?: AbortSignal) => Promise<() => void>;
}

/** Number of polls under way up to which a poll is sent. */
const placesForAll = 16;
/** As `placesForAll`, for extensions of leases, which other polls must not hold up. */
const placesForLeases = 32;
/** Milliseconds after which an unanswered poll leaves its place, since its worker may be down. */
const placeTime = 250;

/** Milliseconds for which a poll lets later ones with a lower value go first, less that value. */
const patience: Readonly<Record<PollUrgency, number>> = {
    lease: -Infinity,
    "expected-start": 0,
    pace: 100,
    "repeated-stop": 100,
    "pending-start": 100,
    first: 200,
    routine: 500,
    retry: 1_000,
};

/** A poll that waits for a place. */
interface WaitingPoll {
    readonly urgency: () => PollUrgency;
    /** Monotonic time in ms. */
    readonly requestedAt: number;
    readonly send: () => void;
}

/** Creates a budget without polls under way. */
export const createPollBudget = (): PollBudget => {
    let waiting: readonly WaitingPoll[] = [];
    let underWay = 0;
    let isReviewDue = false;
    const sendNext = (): void => {
        isReviewDue = false;
        const ranked = waiting
            .map(poll => ({ poll, urgency: poll.urgency() }))
            .map(({ poll, urgency }) => ({ poll, urgency, dueAt: poll.requestedAt + patience[urgency] }))
            // Two extensions are equally urgent: the difference of their times is not a number.
            .sort((first, second) => first.dueAt === second.dueAt ? 0 : first.dueAt - second.dueAt);
        const sent = new Set<WaitingPoll>();
        for (const { poll, urgency } of ranked) {
            if (underWay >= (urgency === "lease" ? placesForLeases : placesForAll)) {
                break;
            }
            sent.add(poll);
            poll.send();
        }
        waiting = waiting.filter(poll => !sent.has(poll));
    };
    /** Reviews the waiting polls after the current callbacks, so that those which are requested together are compared. */
    const requestReview = (): void => {
        if (!isReviewDue) {
            isReviewDue = true;
            void Promise.resolve().then(sendNext);
        }
    };
    const takePlace = (): () => void => {
        let isTaken = true;
        underWay += 1;
        const leave = (): void => {
            if (isTaken) {
                isTaken = false;
                clearTimeout(timer);
                underWay -= 1;
                requestReview();
            }
        };
        const timer = setTimeout(leave, placeTime);
        return leave;
    };
    return {
        admit: (urgency, signal) =>
            new Promise(resolve => {
                const poll: WaitingPoll = {
                    urgency,
                    requestedAt: performance.now(),
                    send: () => {
                        signal?.removeEventListener("abort", cancel);
                        resolve(takePlace());
                    },
                };
                const cancel = (): void => {
                    waiting = waiting.filter(other => other !== poll);
                    resolve(() => undefined);
                };
                if (signal?.aborted === true) {
                    resolve(() => undefined);
                    return;
                }
                signal?.addEventListener("abort", cancel, { once: true });
                waiting = [...waiting, poll];
                requestReview();
            }),
    };
};
