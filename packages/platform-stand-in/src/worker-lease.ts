import type { Adoption } from "@jayfront/platform";
import type { Fence } from "@jayfront/world";
import { compareFences } from "@jayfront/world";

/** A worker's lease, which decides whose commands the worker accepts. */
export interface WorkerLease {
    /** The current fence; epoch and term 0 before the first adoption. */
    readonly fence: () => Fence;
    /** Accepts the adoption, or returns the code of the refusal. */
    readonly adopt: (adoption: Adoption) => string | undefined;
    /** Renews the lease, or returns the code of the refusal. */
    readonly renew: (fence: Fence) => string | undefined;
    /** Whether `fence` is exactly the current one. */
    readonly isCurrent: (fence: Fence) => boolean;
    /** Whether the lease of the tasks has expired, after which the worker checkpoints and stops them. */
    readonly hasTaskLeaseLapsed: () => boolean;
}

/** Options of {@link createWorkerLease}. */
export interface WorkerLeaseOptions {
    /** Deliberate fault: accepts commands under any fence. Default false. */
    readonly ignoresFence?: boolean;
}

/** Creates the lease of a worker that has not been adopted. */
export const createWorkerLease = ({ ignoresFence = false }: WorkerLeaseOptions = {}): WorkerLease => {
    let fence: Fence = { epoch: 0, term: 0 };
    let adoption: Adoption | undefined;
    let leaseExpiresAt = 0;
    let taskLeaseExpiresAt = Infinity;
    const extend = (): void => {
        const now = performance.now();
        leaseExpiresAt = now + (adoption?.lease ?? 0);
        taskLeaseExpiresAt = now + (adoption?.taskLease ?? Infinity);
    };
    const mayAdopt = (next: Adoption): boolean => {
        if (next.fence.epoch !== fence.epoch) {
            return next.fence.epoch > fence.epoch;
        }
        const isSameHolder = next.holder === adoption?.holder;
        if (isSameHolder) {
            return next.fence.term >= fence.term;
        }
        return next.fence.term > fence.term && performance.now() >= leaseExpiresAt;
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
        hasTaskLeaseLapsed: () => performance.now() >= taskLeaseExpiresAt,
    };
};
