import type { Logger } from "pino";

import type { StoredRow } from "../port/state-store.js";
import type { TransferRow } from "./transfer-row.js";
import { transferRow } from "./transfer-row.js";

/** Decodes a transfer row; undefined, with a log line, if it is invalid. */
export const decodeTransferRow = (row: StoredRow, logger: Logger): TransferRow | undefined => {
    try {
        return transferRow.parse(JSON.parse(row.value));
    }
    catch (error) {
        const { table, partition, key, version } = row;
        logger.error(
            { table, partition, key, version, message: String(error) },
            "transfer row is invalid and ignored; cancel its workflow and submit it again",
        );
        return undefined;
    }
};
