/** Settings of the `goldcrestloom` operator command. */
import {userInfo} from "node:os"
import {z} from "zod"
import {SettingsError} from "../contract/errors.js"
import {
	requireTlsUnlessLoopback,
	readTlsKeys,
	type TlsKeys
} from "../link/index.js"
import {
	integerSchema,
	settingSchemas,
	readSettings,
	type SettingSpecs,
	type SettingsOf
} from "../program/index.js"

const minTimeoutMs = 100
const maxTimeoutMs = 60_000
const defaultTimeoutMs = 3000

/** The settings that a command can't run without. */
export enum Requirement {
	None = "nothing",
	Platform = "platform",
	/** The platform's URL or the address of an entry. */
	PlatformOrEntry = "source",
	/** The same as `PlatformOrEntry`, and the operator token. */
	PlatformOrEntryAndToken = "token"
}

export const operatorSpecs = {
	platform: {
		schema: z
			.string()
			.default("")
			.pipe(z.union([z.literal(""), settingSchemas.url])),
		description: "URL of the platform's object API",
		placeholder: "url"
	},
	entries: {
		schema: settingSchemas.addresses,
		description: "Link addresses of the entries, comma-separated",
		placeholder: "ip:port,…"
	},
	operatorToken: {
		schema: settingSchemas.secret,
		description: "Operator token, as set at the entries and endpoint processes",
		placeholder: "token",
		secret: true
	},
	operator: {
		schema: z
			.string()
			.default(() => userInfo().username)
			.pipe(settingSchemas.name),
		description:
			"Name stored with an apply in the history; the login name by default",
		placeholder: "name"
	},
	tlsCert: {schema: settingSchemas.path, description: "Certificate file (PEM)"},
	tlsKey: {schema: settingSchemas.path, description: "Private key file (PEM)"},
	tlsCa: {
		schema: settingSchemas.path,
		description: "Certificate authority file (PEM)"
	},
	insecure: {
		schema: settingSchemas.boolean,
		description:
			"Permit links without TLS to addresses other than loopback: true or false"
	},
	timeoutMs: {
		schema: integerSchema(minTimeoutMs, maxTimeoutMs, defaultTimeoutMs),
		description: "Timeout of one call to the platform or to a process",
		placeholder: "ms"
	}
} satisfies SettingSpecs

export type OperatorSettings = SettingsOf<typeof operatorSpecs> & {
	tls: TlsKeys | undefined
}

/**
 * Reads the settings from flags and environment variables and checks that those
 * required by the command are set.
 *
 * @throws SettingsError listing all faults
 */
export function readOperatorSettings(
	flags: Record<string, unknown>,
	env: NodeJS.ProcessEnv,
	requirement: Requirement
): OperatorSettings {
	const faults: string[] = []
	const settings = collectFaults(faults, () =>
		readSettings(operatorSpecs, flags, env)
	)
	if (settings === undefined) throw new SettingsError(faults)
	faults.push(...findUnmetRequirements(settings, requirement))
	const tls = collectFaults(faults, () => readTlsKeys(settings))
	collectFaults(faults, () => {
		requireTlsUnlessLoopback(settings.entries, tls, settings.insecure)
	})
	if (faults.length > 0) throw new SettingsError(faults)
	return {...settings, tls}
}

function findUnmetRequirements(
	settings: SettingsOf<typeof operatorSpecs>,
	requirement: Requirement
): string[] {
	const faults: string[] = []
	const hasPlatform = settings.platform !== ""
	const platform = "--platform (GOLDCRESTLOOM_PLATFORM)"
	if (requirement === Requirement.Platform && !hasPlatform) {
		faults.push(`${platform} is not set: this command needs the platform`)
	}
	const needsPlatformOrEntry =
		requirement === Requirement.PlatformOrEntry ||
		requirement === Requirement.PlatformOrEntryAndToken
	if (needsPlatformOrEntry && !hasPlatform && settings.entries.length === 0) {
		const entries = "--entries (GOLDCRESTLOOM_ENTRIES)"
		faults.push(
			`neither ${platform} nor ${entries} is set: this command needs one`
		)
	}
	if (
		requirement === Requirement.PlatformOrEntryAndToken &&
		settings.operatorToken === ""
	) {
		const token = "--operator-token (GOLDCRESTLOOM_OPERATOR_TOKEN)"
		faults.push(`${token} is not set: hosts refuse this command without it`)
	}
	return faults
}

/** Calls `read`; on a SettingsError, adds its faults and returns undefined. */
function collectFaults<T>(faults: string[], read: () => T): T | undefined {
	try {
		return read()
	} catch (err) {
		if (!(err instanceof SettingsError)) throw err
		faults.push(...err.faults)
		return undefined
	}
}
