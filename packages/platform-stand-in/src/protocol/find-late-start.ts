import type { ProtocolJournal } from "./protocol-journal.js";

/**
 * Finds the first task that was started in a failure domain later than `evacuationTime` ms after the operator's request
 * to evacuate it was acknowledged, and before the request was removed. An order that the stand-in itself has delayed
 * counts from when it was sent. Returns a description, or undefined if there is none.
 */
export const findLateStart = (
    { events, evacuations }: Pick<ProtocolJournal, "events" | "evacuations">,
    evacuationTime: number,
): string | undefined => {
    for (const event of events) {
        const sentAt = event.kind === "started" ? event.sentAt ?? event.at : undefined;
        const period = sentAt === undefined || event.kind !== "started"
            ? undefined
            : evacuations.find(candidate =>
                candidate.failureDomain === event.failureDomain
                && sentAt > candidate.from + evacuationTime && sentAt < candidate.until
            );
        if (period !== undefined) {
            return `${event.task} started on ${event.worker} at ${
                String(event.at)
            }, though ${period.failureDomain} was to be evacuated from ${String(period.from)}`;
        }
    }
    return undefined;
};
