import { relative } from "node:path";
import { fileURLToPath } from "node:url";

import { expect, it } from "@jest/globals";

import { readKnownRed } from "../src/util/read-known-red.js";
import { repositoryRoot } from "../src/util/repository-root.js";

/** Tests of one file, of which KNOWN-RED.txt may list some. */
export interface KnownRedTests {
    /**
     * Defines a test under a name that no other test of the file has. If KNOWN-RED.txt lists it, it is run all the same
     * and has to end with a failed `expect`. The run counts as an error if it passes, so that its entry is removed
     * together with the fault, and if it fails for any other reason. A test that is listed as unsteady may pass or end
     * with a failed `expect`; any other error counts.
     */
    readonly test: (name: string, run: () => Promise<void>) => void;
    /** Defines a test that fails if KNOWN-RED.txt lists a test of this file that does not exist. */
    readonly checkEntries: () => void;
}

/** Whether the error comes from a failed `expect`. */
const isFailedExpectation = (error: Error): boolean => "matcherResult" in error;
const toError = (thrown: unknown): Error => thrown instanceof Error ? thrown : new Error(String(thrown));

/** The forms of entries: a test that fails always, and one that fails only in some runs. */
const forms = ["test", "unsteady test"] as const;

/**
 * Creates the tests of the file with this URL; KNOWN-RED.txt lists them in the form `red: test <file> <name> | ...` or
 * `red: unsteady test <file> <name> | ...`.
 */
export const createKnownRedTests = async (url: string): Promise<KnownRedTests> => {
    const file = relative(repositoryRoot, fileURLToPath(url));
    const listed = new Map(
        [...await readKnownRed()].flatMap(entry =>
            forms.flatMap(form => {
                const prefix = `${form} ${file} `;
                return entry.startsWith(prefix) ? [[entry.slice(prefix.length), form] as const] : [];
            })
        ),
    );
    const defined = new Set<string>();
    return {
        test: (name, run) => {
            if (defined.has(name)) {
                throw new Error(`two tests of this file are named "${name}": give each its own name`);
            }
            defined.add(name);
            const form = listed.get(name);
            if (form === undefined) {
                it(name, run);
                return;
            }
            it(`${name} (known red)`, async () => {
                const failure = await run().then(() => undefined, toError);
                if (failure === undefined && form === "test") {
                    throw new Error(`"${name}" passes: remove its entry from KNOWN-RED.txt`);
                }
                if (failure !== undefined && !isFailedExpectation(failure)) {
                    throw failure;
                }
                const outcome = failure === undefined ? "passed" : "failed";
                process.stdout.write(`known red: ${form} ${file} ${name}, which has ${outcome}\n`);
            });
        },
        checkEntries: () => {
            it("has all the tests that KNOWN-RED.txt lists", () => {
                expect([...listed.keys()].filter(name => !defined.has(name))).toEqual([]);
            });
        },
    };
};
