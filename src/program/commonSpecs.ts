/** Settings that every daemon has. */
import {z} from "zod"
import {settingSchemas} from "./settings.js"

const logLevels = ["error", "warn", "info", "debug"] as const

export const tlsSpecs = {
	tlsCert: {schema: settingSchemas.path, description: "Certificate file (PEM)"},
	tlsKey: {schema: settingSchemas.path, description: "Private key file (PEM)"},
	tlsCa: {schema: settingSchemas.path, description: "Authority file (PEM)"}
}

export const commonSpecs = {
	...tlsSpecs,
	id: {schema: settingSchemas.name, description: "Name of this host"},
	failureDomain: {
		schema: settingSchemas.name,
		description: "Failure domain of this host"
	},
	link: {
		schema: settingSchemas.address,
		description: "Address of links between processes",
		placeholder: "ip:port"
	},
	advertise: {
		schema: z.union([settingSchemas.address, z.undefined()]),
		description: "Address that peers reach the link at, when not --link",
		placeholder: "ip:port"
	},
	platform: {
		schema: settingSchemas.url,
		description: "URL of the platform's object API",
		placeholder: "url"
	},
	insecure: {
		schema: settingSchemas.boolean,
		description: "Allow plain text on other than loopback addresses",
		placeholder: "true|false"
	},
	operatorToken: {
		schema: settingSchemas.secret,
		description: "Token that operator calls must carry; none are taken unset",
		secret: true
	},
	statsd: {
		schema: z.union([settingSchemas.address, z.literal("")]).default(""),
		description: "Address of a statsd server for counters",
		placeholder: "ip:port"
	},
	logLevel: {
		schema: z.enum(logLevels).default("info"),
		description: `Lowest level logged: ${logLevels.join(", ")}`
	}
}

/** The address by which other processes reach this one's link server. */
export function getAdvertisedAddress(settings: {
	link: string
	advertise: string | undefined
}): string {
	return settings.advertise ?? settings.link
}
