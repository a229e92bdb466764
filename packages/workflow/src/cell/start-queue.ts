/**
 * Sends start orders a few at a time: urgent ones first, then in the order in which they were added.
 * Hundreds of them at once, as after a change of the holder, would keep a small processor from all else until the leases
 * of the running tasks have expired.
 */
export interface StartQueue {
    /** Calls `send` once there is a place, at once if possible; it resolves with the worker's answer, and doesn't reject. */
    readonly add: (send: (hasWaited: boolean) => Promise<void>, isUrgent?: boolean) => void;
}

/** Number of orders that are under way at a time on a host with one processor core; at least {@link minPlaces}. */
const placesPerProcessor = 64;
const minPlaces = 8;
/** Milliseconds after which an order without answer leaves its place, since its worker may be down. */
const placeTime = 100;

/** Creates an empty queue. `processors`: processor cores of the host; may be a fraction. */
export const createStartQueue = (processors: number): StartQueue => {
    const places = Math.max(minPlaces, Math.round(processors * placesPerProcessor));
    const waitingUrgent: ((hasWaited: boolean) => Promise<void>)[] = [];
    const waiting: typeof waitingUrgent = [];
    let underWay = 0;
    const sendNext = (): void => {
        while (underWay < places) {
            const send = waitingUrgent.shift() ?? waiting.shift();
            if (send === undefined) {
                return;
            }
            void occupyPlace(send(true));
        }
    };
    const occupyPlace = async (answered: Promise<void>): Promise<void> => {
        let isOccupied = true;
        underWay += 1;
        const leave = (): void => {
            if (isOccupied) {
                isOccupied = false;
                clearTimeout(timer);
                underWay -= 1;
                sendNext();
            }
        };
        const timer = setTimeout(leave, placeTime);
        await answered;
        leave();
    };
    return {
        add: (send, isUrgent = false) => {
            if (underWay < places) {
                void occupyPlace(send(false));
            }
            else {
                (isUrgent ? waitingUrgent : waiting).push(send);
            }
        },
    };
};
