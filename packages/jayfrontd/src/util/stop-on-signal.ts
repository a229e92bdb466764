import type { Logger } from "pino";

/** Options of {@link stopOnSignal}. */
export interface StopOnSignalOptions {
    readonly logger: Logger;
    /** Stops gracefully. */
    readonly stop: () => Promise<void>;
    /** Called when all has stopped, before the process ends. Default: logs that. */
    readonly onStopped?: () => void;
}

/** Stops once on SIGTERM or SIGINT, then ends the process. */
export const stopOnSignal = ({ logger, stop, onStopped }: StopOnSignalOptions): void => {
    let isStopping = false;
    const handle = (signal: NodeJS.Signals): void => {
        if (isStopping) {
            return;
        }
        isStopping = true;
        logger.info({ signal }, "stopping gracefully");
        void stop().then(() => {
            if (onStopped === undefined) {
                logger.info("stopped");
            }
            onStopped?.();
            process.exit(0);
        });
    };
    process.on("SIGTERM", handle);
    process.on("SIGINT", handle);
};
