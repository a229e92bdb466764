import { parseTomlDocument } from "@jayfront/world";
import { describe, expect, it } from "@jest/globals";

import { settingsSchema } from "../src/settings.js";

const valid = `
[host]
id = "east-a-1"
failureDomain = "east-a"
address = "127.0.0.1:18000"
peerAddress = "127.0.0.1:18100"

[platform]
address = "127.0.0.1:18200"

[security]
peerKey = "0123456789abcdef0123456789abcdef"
operatorTokens = ["0123456789abcdef"]
`;
const read = (text: string): unknown =>
    parseTomlDocument(text, settingsSchema).match<unknown>({ Ok: value => value, Err: mistakes => mistakes });

describe("settings", () => {
    it("have a default for every optional key", () => {
        expect(read(valid)).toMatchSnapshot();
    });

    it.each([
        ["an unknown key", `${valid}\n[timing]\nhartbeat = 100\n`],
        ["a host name instead of an IP address", valid.replace("127.0.0.1:18000", "east.example:18000")],
        ["a short peer key", valid.replace("0123456789abcdef0123456789abcdef", "short")],
        ["a missing table", valid.replace("[platform]", "[plattform]")],
    ])("report line, key and remedy for %s", (...[, text]) => {
        expect(read(text)).toMatchSnapshot();
    });
});
