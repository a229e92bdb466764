// Starts the daemon from its bundle, with the bytecode that the build has compiled: small hosts would spend a third of
// the processor time of a start on that. With `--compile`, writes the bytecode instead.
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const { wrap } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const bundlePath = join(__dirname, "bundle.cjs");
const bytecodePath = join(__dirname, "bundle.bytecode");
const isCompiling = process.argv[2] === "--compile";

const readBytecode = () => {
    try {
        return readFileSync(bytecodePath);
    }
    catch {
        // Without bytecode, the functions are compiled when they are first called.
        return undefined;
    }
};

const script = new Script(wrap(readFileSync(bundlePath, "utf8")), {
    filename: bundlePath,
    ...(isCompiling ? {} : { cachedData: readBytecode() }),
});
const bundle = { exports: {} };
script.runInThisContext()(bundle.exports, require, bundle, bundlePath, __dirname);
if (isCompiling) {
    writeFileSync(bytecodePath, script.createCachedData());
}
else {
    void bundle.exports.runDaemon();
}
