import type { FailureDomainId } from "@jayfront/world";

/** Processor time of a failure domain's workers, in millicores. */
export interface DomainUse {
    readonly capacityCpu: number;
    /** Requested by the tasks that run there. */
    readonly usedCpu: number;
}

/**
 * Fills failure domains that are open again by degrees: their workers may be cold, and a wave of starts on all of them
 * would end in a wave of late tasks. Domains that never closed are not limited.
 */
export interface DomainRamp {
    /** Records that starts in the domain are allowed again, after an evacuation or an outage. */
    readonly recordDomainReopened: (domain: FailureDomainId) => void;
    /** Whether a domain is being filled; if not, `mayStart` need not be asked. */
    readonly isFilling: () => boolean;
    /** Computes what may start in this pass; `useOf` is called for domains that are being filled. */
    readonly beginPass: (useOf: (domain: FailureDomainId) => DomainUse) => void;
    /** Whether another task may start in the domain in this pass; the last one may exceed what is left. */
    readonly mayStart: (domain: FailureDomainId) => boolean;
    /** Records the start of a task that requests so many millicores. */
    readonly recordStart: (domain: FailureDomainId, cpu: number) => void;
}

/** Milliseconds until a domain is used without limit; a third of the 15 s within which callers expect recovery. */
const rampTime = 5_000;
/** Share of the free processor time that may be used at once; as much as each tenth of the ramp adds. */
const firstShare = 0.1;

interface FillingDomain {
    /** Monotonic time in ms. */
    readonly reopenedAt: number;
    /** Share of the processor time that was in use at the first pass; undefined before it. */
    usedShareBefore: number | undefined;
    /** Millicores that may start in this pass. */
    allowance: number;
}

/** Creates a ramp that limits no domain. */
export const createDomainRamp = (): DomainRamp => {
    const filling = new Map<FailureDomainId, FillingDomain>();
    return {
        recordDomainReopened: domain => {
            filling.set(domain, { reopenedAt: performance.now(), usedShareBefore: undefined, allowance: 0 });
        },
        isFilling: () => filling.size > 0,
        beginPass: useOf => {
            const now = performance.now();
            for (const [domain, state] of filling) {
                const progress = (now - state.reopenedAt) / rampTime;
                if (progress >= 1) {
                    filling.delete(domain);
                    continue;
                }
                const { capacityCpu, usedCpu } = useOf(domain);
                const before = state.usedShareBefore ??= Math.min(1, usedCpu / Math.max(1, capacityCpu));
                const share = before + (1 - before) * Math.max(firstShare, progress);
                state.allowance = share * capacityCpu - usedCpu;
            }
        },
        mayStart: domain => (filling.get(domain)?.allowance ?? Infinity) > 0,
        recordStart: (domain, cpu) => {
            const state = filling.get(domain);
            if (state !== undefined) {
                state.allowance -= cpu;
            }
        },
    };
};
