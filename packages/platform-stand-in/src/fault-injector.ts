import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** A door of the platform at which faults can be switched on. */
export type InjectionPoint = "table" | "objects" | "live-list" | "tasks" | "endpoint";

/** A fault that strikes matching calls while it is switched on. */
export interface Fault {
    readonly door: InjectionPoint;
    /** Failure domain or host that the call comes from; any when absent. */
    readonly from?: string;
    /** Worker or failure domain that the call goes to; any when absent. */
    readonly to?: string;
    /** Path that the call names, such as `/table/commit`; any when absent. */
    readonly path?: string;
    /** `outage` answers at once that the service is away; `drop` and `lose-reply` answer nothing. */
    readonly action: "outage" | "drop" | "lose-reply" | "delay";
    /** Milliseconds of `delay`. Default 0. */
    readonly delay?: number;
    /** Share of matching calls that are struck. Default 1. */
    readonly probability?: number;
    /** Calls that are struck before the fault ends by itself; unlimited when absent. */
    readonly times?: number;
}

/** A call as the switchboard sees it. */
export interface InterceptedCall {
    readonly door: InjectionPoint;
    readonly path: string;
    readonly from: readonly string[];
    readonly to: readonly string[];
}

/** Switches faults on and off and decides which strike a call. */
export interface FaultInjector {
    /** Switches a fault on; the answer switches it off. */
    readonly add: (fault: Fault) => () => void;
    readonly clear: () => void;
    readonly trigger: (call: InterceptedCall) => readonly Fault[];
}

/** Creates a switchboard with all faults off. */
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
            const struck = [...active.keys()].filter(fault => matches(fault, call));
            for (const fault of struck) {
                const times = (active.get(fault) ?? 0) + 1;
                active.set(fault, times);
                if (fault.times !== undefined && times >= fault.times) {
                    active.delete(fault);
                }
            }
            return struck;
        },
    };
};
