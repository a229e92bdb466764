import type { ServiceId, UsageReport } from "@jayfront/world";

/** Collects a worker's measurements and reports them by window. */
export interface UsageRecorder {
    /** Records a completed request and its latency in milliseconds. */
    readonly recordRequest: (service: string, latency: number) => void;
    /** Returns the reports from `sequence` on whose windows ended at least the lag ago. */
    readonly reports: (sequence: number) => readonly UsageReport[];
}

/** Options of {@link createUsageRecorder}. */
export interface UsageRecorderOptions {
    /** Shortest length of a window in milliseconds. Default 1,000. */
    readonly window?: number;
    /** Milliseconds between the end of a window and its report. Default 2,000. */
    readonly lag?: number;
    /** Returns the sum of the levels of the running batch tasks by batch class. */
    readonly batch: () => Readonly<Record<string, number>>;
}

/** Number of closed windows that are kept. */
const maxWindows = 30;
const tailLatencyQuantile = 0.99;

const summarize = (latencies: readonly number[]): { completed: number; tail: number; mean: number; } => {
    const sorted = [...latencies].sort((left, right) => left - right);
    return {
        completed: sorted.length,
        tail: sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * tailLatencyQuantile))] ?? 0,
        mean: sorted.reduce((sum, latency) => sum + latency, 0) / Math.max(1, sorted.length),
    };
};

/** Creates a recorder. A window is closed by the first call after its end. */
export const createUsageRecorder = ({ window = 1_000, lag = 2_000, batch }: UsageRecorderOptions): UsageRecorder => {
    const closed: { endedAt: number; report: UsageReport; }[] = [];
    let latencies = new Map<string, number[]>();
    let openedAt = performance.now();
    let sequence = 0;
    const closeDueWindow = (): void => {
        const now = performance.now();
        if (now - openedAt < window) {
            return;
        }
        const services: Record<ServiceId, { completed: number; tail: number; mean: number; }> = {};
        for (const [service, values] of latencies) {
            services[service as ServiceId] = summarize(values);
        }
        closed.push({
            endedAt: now,
            report: { sequence, age: 0, window: now - openedAt, services, batch: batch() },
        });
        if (closed.length > maxWindows) {
            closed.shift();
        }
        sequence += 1;
        latencies = new Map();
        openedAt = now;
    };
    return {
        recordRequest: (service, latency) => {
            closeDueWindow();
            const values = latencies.get(service) ?? [];
            values.push(latency);
            latencies.set(service, values);
        },
        reports: from => {
            closeDueWindow();
            const now = performance.now();
            return closed
                .filter(entry => entry.report.sequence >= from && now - entry.endedAt >= lag)
                .map(entry => ({ ...entry.report, age: now - entry.endedAt }));
        },
    };
};
