import tseslint from "typescript-eslint";

export default tseslint.config(
    {
        ignores: [
            "**/dist/**",
            "packages/*/bin/**",
            "deploy/*.js",
            "deploy/*.cjs",
            "target/**",
            "**/node_modules/**",
            "eslint.config.js",
            "jest.config.js",
        ],
    },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: {
            parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
        },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "prefer-const": "error",
            "prefer-arrow-callback": "error",
            "func-style": ["error", "expression"],
            "no-underscore-dangle": "error",
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "separate-type-imports" }],
            "@typescript-eslint/consistent-type-definitions": ["error", "interface"],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: ["variable", "function"], format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
    {
        // jest matchers and fakes are loosely typed.
        files: ["packages/*/tests/**"],
        rules: {
            "@typescript-eslint/no-unsafe-assignment": "off",
            "@typescript-eslint/require-await": "off",
        },
    },
);
