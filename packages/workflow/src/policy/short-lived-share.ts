/** Share of a cell's CPU that long-running work leaves free for short-lived work while other cells may have room. */
export const shortLivedShare = 0.08;
