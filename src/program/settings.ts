/**
 * Settings of a program: one flag and one environment variable each, checked
 * together at start so that every fault is reported at once.
 */
import {z} from "zod"
import {SettingsError} from "../contract/errors.js"
import {splitWords} from "../utils/common.js"

/** One setting. The key `drainMs` is `--drain-ms` and `GOLDCRESTLOOM_DRAIN_MS`. */
export interface SettingSpec<T> {
	/** Checks and converts the text of a flag or variable. */
	schema: z.ZodType<T, string | undefined>
	description: string
	/** Shown in help instead of `<value>`. */
	placeholder?: string
	/** The value is never shown in help, logs or errors. */
	secret?: boolean
}

// The value type of each spec differs, and only its output is read.
// eslint-disable-next-line @typescript-eslint/no-explicit-any
export type SettingSpecs = Record<string, SettingSpec<any>>

export type SettingsOf<S extends SettingSpecs> = {
	[K in keyof S]: S[K] extends SettingSpec<infer T> ? T : never
}

const envPrefix = "GOLDCRESTLOOM_"

/** Flag of a setting, without dashes in front. */
export function formatFlagName(key: string): string {
	return splitWords(key, "-")
}

/** Environment variable of a setting. */
export function formatVariableName(key: string): string {
	return envPrefix + splitWords(key, "_").toUpperCase()
}

/**
 * Reads settings from parsed flags, then from the environment.
 *
 * @throws SettingsError with every fault
 */
export function readSettings<S extends SettingSpecs>(
	specs: S,
	flags: Record<string, unknown>,
	env: NodeJS.ProcessEnv
): SettingsOf<S> {
	const faults = findUnknownFlags(specs, flags)
	const values: Record<string, unknown> = {}
	for (const [key, spec] of Object.entries(specs)) {
		const raw = readRaw(key, flags, env)
		const result = spec.schema.safeParse(raw)
		if (result.success) {
			values[key] = result.data
			continue
		}
		faults.push(describeFault(key, spec, raw, result.error))
	}
	if (faults.length > 0) throw new SettingsError(faults)
	return values as SettingsOf<S>
}

function findUnknownFlags(
	specs: SettingSpecs,
	flags: Record<string, unknown>
): string[] {
	const known = new Set(["--", "help", "version", "h", "v"])
	for (const key of Object.keys(specs)) known.add(key)
	const unknown = Object.keys(flags).filter(key => !known.has(key))
	return unknown.map(key => `unknown flag --${formatFlagName(key)}`)
}

function readRaw(
	key: string,
	flags: Record<string, unknown>,
	env: NodeJS.ProcessEnv
): string | undefined {
	const flag = flags[key]
	if (Array.isArray(flag)) return flag.join(",")
	if (typeof flag === "string") return flag
	if (typeof flag === "number" || typeof flag === "boolean") {
		return String(flag)
	}
	return env[formatVariableName(key)]
}

function describeFault(
	key: string,
	spec: SettingSpec<unknown>,
	raw: string | undefined,
	err: z.ZodError
): string {
	const reason = err.issues.map(issue => issue.message).join("; ")
	const name = `--${formatFlagName(key)} (${formatVariableName(key)})`
	if (raw === undefined) return `${name} is not set: ${reason}`
	const shown = spec.secret === true ? "(hidden)" : JSON.stringify(raw)
	return `${name} is ${shown}: ${reason}`
}

const addressPattern = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/
const maxNameLength = 128
const namePattern = /^[a-z0-9][a-z0-9._-]*$/i

/** Schemas of the common kinds of setting. */
export const settingSchemas = {
	/** A name of letters, digits, `.`, `_` and `-`. */
	name: z
		.string("expected a name")
		.max(maxNameLength)
		.regex(namePattern, "expected letters, digits, '.', '_' or '-'"),
	/** `ip:port`. */
	address: z
		.string("expected ip:port")
		.regex(addressPattern, "expected ip:port with a numeric address"),
	url: z.url("expected a URL such as http://127.0.0.1:7000"),
	/** Comma-separated `ip:port` list, empty by default. */
	addresses: z
		.string()
		.default("")
		.transform(splitList)
		.pipe(z.array(z.string().regex(addressPattern, "expected ip:port"))),
	/** Comma-separated URLs, at least one. */
	urls: z
		.string("expected at least one URL")
		.transform(splitList)
		.pipe(z.array(z.url("expected URLs")).min(1)),
	/** A path, empty when unset. */
	path: z.string().default(""),
	secret: z.string().default(""),
	boolean: z
		.string()
		.default("false")
		.pipe(z.enum(["true", "false"], "expected true or false"))
		.transform(text => text === "true")
}

/** An integer setting with bounds and a default. */
export function integerSchema(
	min: number,
	max: number,
	fallback: number
): z.ZodType<number, string | undefined> {
	return z
		.string()
		.default(String(fallback))
		.refine(text => /^-?\d+$/.test(text), "expected an integer")
		.transform(Number)
		.refine(value => value >= min && value <= max, `expected ${min} to ${max}`)
}

function splitList(text: string): string[] {
	const items = text.split(",").map(item => item.trim())
	return items.filter(item => item !== "")
}
