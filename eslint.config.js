import tseslint from "typescript-eslint"

export default tseslint.config(
	{ignores: ["dist/**", "target/**", "src/contract/gen/**", "coverage/**"]},
	...tseslint.configs.strictTypeChecked,
	...tseslint.configs.stylisticTypeChecked,
	{
		languageOptions: {
			parserOptions: {
				projectService: true,
				tsconfigRootDir: import.meta.dirname
			}
		},
		rules: {
			"@typescript-eslint/restrict-template-expressions": [
				"error",
				{allowNumber: true, allowBoolean: true}
			],
			"@typescript-eslint/no-non-null-assertion": "error",
			"no-console": "error"
		}
	},
	{
		files: ["src/policy/**/*.ts"],
		ignores: ["**/*.test.ts"],
		rules: {
			"no-restricted-globals": [
				"error",
				"setTimeout",
				"setInterval",
				"setImmediate",
				"process",
				"Buffer",
				"performance",
				"fetch"
			],
			"no-restricted-properties": [
				"error",
				{object: "Date", property: "now"},
				{object: "Math", property: "random"}
			],
			"no-restricted-imports": [
				"error",
				{patterns: ["node:*", "undici", "polka", "@grpc/*", "winston"]}
			]
		}
	},
	{
		files: ["**/*.js", "**/*.mjs"],
		extends: [tseslint.configs.disableTypeChecked]
	},
	{
		files: ["bench/**", "scripts/**", "src/operator/output.ts"],
		rules: {"no-console": "off"}
	}
)
