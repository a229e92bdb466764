import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** An interface of the platform at which faults can be injected. */
export type InjectionPoint = "table" | "objects" | "live-list" | "tasks" | "endpoint";

/** A fault that affects matching calls while it is active. */
export interface Fault {
    /** Interface at which the fault is injected. */
    readonly door: InjectionPoint;
    /** Failure domain or host of the caller; any if absent. */
    readonly from?: string;
    /** Worker that is called or its failure domain; any if absent. */
    readonly to?: string;
    /** Path of the call, such as `/table/commit`; any if absent. */
    readonly path?: string;
    /**
     * `outage`: fails at once as unavailable. `drop`: neither executed nor answered. `lose-reply`: executed, but not
     * answered. `delay`: executed after `delay`, and answered if that is below the timeout of calls.
     * At `endpoint`, `delay` has no effect, and over HTTP neither `outage` nor a fault with `from` has.
     */
    readonly action: "outage" | "drop" | "lose-reply" | "delay";
    /** Milliseconds of `delay`. Default 0. */
    readonly delay?: number;
    /** Probability that a matching call is affected, from 0 to 1. Default 1. */
    readonly probability?: number;
    /** Number of affected calls after which the fault is removed; unlimited if absent. */
    readonly times?: number;
}

/** A call for which {@link FaultInjector.trigger} looks up faults. */
export interface InterceptedCall {
    readonly door: InjectionPoint;
    readonly path: string;
    readonly from: readonly string[];
    readonly to: readonly string[];
}

/** Holds the active faults and decides which of them affect a call. */
export interface FaultInjector {
    /** Activates a fault; the returned function removes it. */
    readonly add: (fault: Fault) => () => void;
    /** Removes all faults. */
    readonly clear: () => void;
    /** Returns the faults that affect a call and counts the call for each of them. */
    readonly trigger: (call: InterceptedCall) => readonly Fault[];
}

/** Creates an injector without active faults. */
export const createFaultInjector = (random: RandomGenerator): FaultInjector => {
    const active = new Map<Fault, number>();
    const matches = (fault: Fault, call: InterceptedCall): boolean =>
        fault.door === call.door
        && (fault.from === undefined || call.from.includes(fault.from))
        && (fault.to === undefined || call.to.includes(fault.to))
        && (fault.path === undefined || call.path === fault.path)
        && (fault.probability === undefined || uniformFloat64(random) < fault.probability);
    return {
        add: fault => {
            active.set(fault, 0);
            return () => {
                active.delete(fault);
            };
        },
        clear: () => {
            active.clear();
        },
        trigger: call => {
            const triggered = [...active.keys()].filter(fault => matches(fault, call));
            for (const fault of triggered) {
                const hits = (active.get(fault) ?? 0) + 1;
                active.set(fault, hits);
                if (fault.times !== undefined && hits >= fault.times) {
                    active.delete(fault);
                }
            }
            return triggered;
        },
    };
};
