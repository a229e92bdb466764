import type { Adoption } from "@jayfront/platform";
import type { Fence } from "@jayfront/world";
import { compareFences } from "@jayfront/world";

/** The lease rules of a worker: who may command it. */
export interface WorkerLease {
    readonly fence: () => Fence;
    /** Takes the adoption, or answers the code of the refusal. */
    readonly adopt: (adoption: Adoption) => string | undefined;
    /** Renews, or answers the code of the refusal. */
    readonly renew: (fence: Fence) => string | undefined;
    /** Whether `fence` is exactly the current one. */
    readonly isCurrent: (fence: Fence) => boolean;
    /** Whether the task lease has run out. */
    readonly hasTaskLeaseLapsed: () => boolean;
}

/** Options of {@link createWorkerLease}. */
export interface WorkerLeaseOptions {
    /** Planted fault: commands under any fence are taken. Default false. */
    readonly ignoresFence?: boolean;
}

/** Creates the lease of a worker that nobody has adopted. */
export const createWorkerLease = ({ ignoresFence = false }: WorkerLeaseOptions = {}): WorkerLease => {
    let fence: Fence = { epoch: 0, term: 0 };
    let adoption: Adoption | undefined;
    let leaseUntil = 0;
    let tasksUntil = Infinity;
    const extend = (): void => {
        const now = performance.now();
        leaseUntil = now + (adoption?.lease ?? 0);
        tasksUntil = now + (adoption?.taskLease ?? Infinity);
    };
    const mayAdopt = (next: Adoption): boolean => {
        if (next.fence.epoch !== fence.epoch) {
            return next.fence.epoch > fence.epoch;
        }
        const isSameHolder = next.holder === adoption?.holder;
        if (isSameHolder) {
            return next.fence.term >= fence.term;
        }
        return next.fence.term > fence.term && performance.now() >= leaseUntil;
    };
    const isCurrent = (other: Fence): boolean => ignoresFence || compareFences(fence, other) === 0;
    return {
        fence: () => fence,
        adopt: next => {
            if (!ignoresFence && !mayAdopt(next)) {
                return `stale-fence ${String(fence.epoch)}.${String(fence.term)}`;
            }
            fence = next.fence;
            adoption = next;
            extend();
            return undefined;
        },
        renew: other => {
            if (!isCurrent(other)) {
                return `stale-fence ${String(fence.epoch)}.${String(fence.term)}`;
            }
            extend();
            return undefined;
        },
        isCurrent,
        hasTaskLeaseLapsed: () => performance.now() >= tasksUntil,
    };
};
