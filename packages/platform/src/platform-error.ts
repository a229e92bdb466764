/**
 * Why a call to the platform failed.
 * After `conflict`, `refused` and `unavailable` nothing took effect. After `unknown` the call may have taken effect:
 * find out by reading, or by repeating the call with the same operation id.
 */
export interface PlatformError {
    readonly kind: "conflict" | "refused" | "unavailable" | "unknown";
    /** What happened and what to do. */
    readonly message: string;
    /** Code of a `refused` call, such as `stale-fence` or `no-room`. */
    readonly code?: string | undefined;
}
