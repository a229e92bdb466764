import type { Logger } from "pino";

/** Options of {@link stopOnSignal}. */
export interface StopOnSignalOptions {
    readonly logger: Logger;
    /** Stops gracefully. */
    readonly stop: () => Promise<void>;
    /** Called after `stop` has resolved, before the process exits. Default: logs "stopped". */
    readonly onStopped?: () => void;
}

/** On the first SIGTERM or SIGINT, stops gracefully and exits the process with code 0; later signals are ignored. */
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
