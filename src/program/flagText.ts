/**
 * The text of flags as written. The parser turns values that look like numbers
 * into numbers, which changes secrets and names such as `007`, `1e3` or "".
 */
import {formatFlagName} from "./settings.js"

/** Replaces numbers among parsed flags by the text in `argv`. */
export function restoreFlagText(
	flags: Readonly<Record<string, unknown>>,
	argv: readonly string[]
): Record<string, unknown> {
	const entries = Object.entries(flags).map(([key, value]) => [
		key,
		isChanged(value) ? pickText(value, findTexts(argv, key)) : value
	])
	return Object.fromEntries(entries) as Record<string, unknown>
}

function isChanged(value: unknown): boolean {
	if (Array.isArray(value)) return value.some(isChanged)
	return typeof value === "number"
}

function pickText(value: unknown, texts: readonly string[]): unknown {
	if (Array.isArray(value)) return texts
	return texts[0] ?? value
}

/** Values of a flag, as `--flag value` or `--flag=value`. */
function findTexts(argv: readonly string[], key: string): string[] {
	const names = [`--${formatFlagName(key)}`, `--${key}`]
	return argv.flatMap((arg, index) => {
		if (names.includes(arg)) return argv.slice(index + 1, index + 2)
		const name = names.find(one => arg.startsWith(`${one}=`))
		return name === undefined ? [] : [arg.slice(name.length + 1)]
	})
}
