export default {
    testEnvironment: "node",
    extensionsToTreatAsEsm: [".ts"],
    testMatch: ["<rootDir>/packages/*/tests/**/*.test.ts", "<rootDir>/platform/tests/**/*.test.ts"],
    // Its tests measure processes, so that `npm run untrusted` runs them apart from all others.
    testPathIgnorePatterns: ["/node_modules/", "untrusted-callers"],
    modulePathIgnorePatterns: ["/dist/"],
    moduleNameMapper: {
        "^@jayfront/platform-adapter$": "<rootDir>/platform/src/index.ts",
        "^@jayfront/([a-z-]+)$": "<rootDir>/packages/$1/src/index.ts",
        "^(\\.{1,2}/.*)\\.js$": "$1",
    },
    transform: {
        "^.+\\.ts$": ["@swc/jest", {
            jsc: { target: "es2022", parser: { syntax: "typescript" } },
            module: { type: "es6" },
        }],
    },
    // Verdicts are counts in fake time; a busy machine may take longer, but not change them.
    testTimeout: 300_000,
};
