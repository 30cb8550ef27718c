import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", ".tap/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase", "PascalCase"] },
            ],
            "@typescript-eslint/no-restricted-types": ["error", { types: { null: "use undefined" } }],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 450, skipBlankLines: true, skipComments: true }],
            "no-var": "error",
            "prefer-const": "error",
        },
    },
);
