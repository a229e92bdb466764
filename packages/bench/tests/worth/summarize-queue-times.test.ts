import { describe, expect, it } from "@jest/globals";

import type { LogLine } from "../../src/worth/log-line.js";
import { parseLogLine } from "../../src/worth/log-line.js";
import { summarizeQueueTimes } from "../../src/worth/summarize-queue-times.js";

const log = `
  1.2 host-a {"level":30,"time":1000,"job":"j1","method":"POST","queue":"r-1","status":200,"msg":"request answered"}
  1.2 host-b {"level":30,"time":1100,"job":"j1","step":0,"index":0,"worker":"w","waited":50,"msg":"start ordered"}
  1.2 host-b {"level":30,"time":1200,"job":"j1","step":0,"withRoom":3,"trusted":2,"isKeptForUrgent":false,"msg":"step waits"}
  1.2 host-b {"level":30,"time":3050,"job":"j1","step":0,"index":1,"worker":"w","waited":2000,"msg":"start ordered"}
  1.2 host-b {"level":30,"time":2000,"job":"j1","task":"j1.0.0.0","to":50,"msg":"pace set"}
  1.2 host-b {"level":30,"time":3000,"job":"j1","task":"j1.0.0.0","outcome":"failed","ranFor":1900,"state":"running","msg":"run ended"}
  1.2 host-b {"level":30,"time":3100,"job":"j1","step":0,"index":0,"worker":"v","waited":100,"msg":"start ordered"}
  1.2 host-b {"level":30,"time":4100,"job":"j1","task":"j1.0.0.0","outcome":"done","ranFor":1000,"state":"completed","msg":"run ended"}
  1.2 host-b {"level":30,"time":4100,"job":"j2","task":"j2.0.0.0","outcome":"done","ranFor":1000,"state":"completed","msg":"run ended"}
  1.2 host-b {"level":30,"time":1700,"job":"j3","method":"POST","queue":"r-1","status":503,"msg":"request answered"}
something else {"level":30,"msg":"run ended"
`;

describe("the summary of queue times", () => {
    it("shows by cause where the time of completed workflows went", () => {
        const lines = log.split("\n").map(parseLogLine).filter((line): line is LogLine => line !== undefined);
        expect(lines).toHaveLength(10);
        expect(summarizeQueueTimes(lines)).toMatchInlineSnapshot(`
[
  {
    "byCause": {
      "kept for urgent work": 0,
      "runs": 1000,
      "runs again": 1900,
      "slowed": 500,
      "waits for an order": 0,
      "waits for neighbours": 2050,
      "waits for room": 0,
      "waits for trust": 0,
    },
    "completed": 1,
    "ended": 1,
    "queue": "r-1",
    "total": 3100,
  },
]
`);
    });
});
