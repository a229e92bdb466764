/** Memory that may be taken up to a bound. What is taken is given back by whoever took it, once. */
export interface MemoryAllowance {
    /** Takes `bytes`; false, and nothing is taken, if fewer are left. */
    readonly take: (bytes: number) => boolean;
    /** Takes `bytes`, however many are left. */
    readonly hold: (bytes: number) => void;
    readonly giveBack: (bytes: number) => void;
}
