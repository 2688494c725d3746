/** Settings of the operator command. */
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

/** What a command has to reach. */
export enum Need {
	Nothing = "nothing",
	Platform = "platform",
	/** The platform or an entry. */
	Source = "source",
	/** The platform or an entry, and the operator's token. */
	Token = "token"
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
		description: "Links of the entries, comma-separated",
		placeholder: "ip:port,…"
	},
	operatorToken: {
		schema: settingSchemas.secret,
		description: "Token that processes require of operators",
		placeholder: "token",
		secret: true
	},
	operator: {
		schema: z
			.string()
			.default(() => userInfo().username)
			.pipe(settingSchemas.name),
		description: "Name kept with an apply; the login name by default",
		placeholder: "name"
	},
	tlsCert: {schema: settingSchemas.path, description: "Certificate, PEM"},
	tlsKey: {schema: settingSchemas.path, description: "Private key, PEM"},
	tlsCa: {
		schema: settingSchemas.path,
		description: "Certificate authority, PEM"
	},
	insecure: {
		schema: settingSchemas.boolean,
		description: "Permit plain text beyond loopback: true or false"
	},
	timeoutMs: {
		schema: integerSchema(minTimeoutMs, maxTimeoutMs, defaultTimeoutMs),
		description: "Longest wait for one answer",
		placeholder: "ms"
	}
} satisfies SettingSpecs

export type OperatorSettings = SettingsOf<typeof operatorSpecs> & {
	tls: TlsKeys | undefined
}

/**
 * Reads the settings for a command.
 *
 * @throws SettingsError with every fault
 */
export function readOperatorSettings(
	flags: Record<string, unknown>,
	env: NodeJS.ProcessEnv,
	need: Need
): OperatorSettings {
	const faults: string[] = []
	const settings = collect(faults, () =>
		readSettings(operatorSpecs, flags, env)
	)
	if (settings === undefined) throw new SettingsError(faults)
	faults.push(...findUnmetNeeds(settings, need))
	const tls = collect(faults, () => readTlsKeys(settings))
	collect(faults, () => {
		requireTlsUnlessLoopback(settings.entries, tls, settings.insecure)
	})
	if (faults.length > 0) throw new SettingsError(faults)
	return {...settings, tls}
}

function findUnmetNeeds(
	settings: SettingsOf<typeof operatorSpecs>,
	need: Need
): string[] {
	const faults: string[] = []
	const hasPlatform = settings.platform !== ""
	const platform = "--platform (GOLDCRESTLOOM_PLATFORM)"
	if (need === Need.Platform && !hasPlatform) {
		faults.push(`${platform} is not set: this command needs the platform`)
	}
	const needsSource = need === Need.Source || need === Need.Token
	if (needsSource && !hasPlatform && settings.entries.length === 0) {
		const entries = "--entries (GOLDCRESTLOOM_ENTRIES)"
		faults.push(`neither ${platform} nor ${entries} is set`)
	}
	if (need === Need.Token && settings.operatorToken === "") {
		const token = "--operator-token (GOLDCRESTLOOM_OPERATOR_TOKEN)"
		faults.push(`${token} is not set: this command needs it`)
	}
	return faults
}

function collect<T>(faults: string[], read: () => T): T | undefined {
	try {
		return read()
	} catch (err) {
		if (!(err instanceof SettingsError)) throw err
		faults.push(...err.faults)
		return undefined
	}
}
