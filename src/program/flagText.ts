/**
 * Restores flag values to the text on the command line. The parser converts
 * values that look like numbers, which alters secrets and names such as `007`,
 * `1e3` or "".
 */
import {formatFlagName} from "./settings.js"

/** Replaces numeric values of parsed flags by their text in `argv`. */
export function restoreFlagText(
	flags: Readonly<Record<string, unknown>>,
	argv: readonly string[]
): Record<string, unknown> {
	const entries = Object.entries(flags).map(([key, value]) => [
		key,
		hasNumber(value) ? pickText(value, findTexts(argv, key)) : value
	])
	return Object.fromEntries(entries) as Record<string, unknown>
}

function hasNumber(value: unknown): boolean {
	if (Array.isArray(value)) return value.some(hasNumber)
	return typeof value === "number"
}

function pickText(value: unknown, texts: readonly string[]): unknown {
	if (Array.isArray(value)) return texts
	return texts[0] ?? value
}

/** Finds the values of a flag, given as `--flag value` or `--flag=value`. */
function findTexts(argv: readonly string[], key: string): string[] {
	const names = [`--${formatFlagName(key)}`, `--${key}`]
	return argv.flatMap((arg, index) => {
		if (names.includes(arg)) return argv.slice(index + 1, index + 2)
		const name = names.find(candidate => arg.startsWith(`${candidate}=`))
		return name === undefined ? [] : [arg.slice(name.length + 1)]
	})
}
