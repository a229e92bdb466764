/** What a poll is for, the most urgent first. */
const urgencies = [
    "lease", // extends the lease of running tasks
    "pending-start", // fences a start that may still be carried out
    "expected-start", // first poll of a worker that an earlier holder sent a start
    "first", // first poll of any other worker
    "idle", // keeps the reading of the clock of a worker without runs recent
    "retry", // of a worker that did not answer
] as const;

/** See {@link urgencies}. */
export type PollUrgency = typeof urgencies[number];

/**
 * Bounds the number of polls that a host has under way and that workers answer at once. A process that is short of
 * processor time reads answers late, so that it sends fewer polls; without the bound each poll would be sent although
 * the answers to earlier ones wait to be read.
 */
export interface PollBudget {
    /**
     * Resolves once a poll may be sent, in order of urgency, or when `signal` aborts; to be called just before the poll.
     * The returned function has to be called with its answer. `urgency` is called when there is place for a poll.
     */
    readonly admit: (urgency: () => PollUrgency, signal?: AbortSignal) => Promise<() => void>;
}

/** Number of polls under way up to which a poll is sent. */
const placesForAll = 16;
/** As `placesForAll`, for extensions of leases, which other polls must not hold up. */
const placesForLeases = 32;
/** Milliseconds after which an unanswered poll leaves its place, since its worker may be down. */
const placeTime = 250;

/** A poll that waits for a place. */
interface WaitingPoll {
    readonly urgency: () => PollUrgency;
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
            .map(poll => ({ poll, rank: urgencies.indexOf(poll.urgency()) }))
            .sort((first, second) => first.rank - second.rank);
        const sent = new Set<WaitingPoll>();
        for (const { poll, rank } of ranked) {
            if (underWay >= (rank === 0 ? placesForLeases : placesForAll)) {
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
            queueMicrotask(sendNext);
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
