/** Settings that every daemon has. */
import {z} from "zod"
import {kinds} from "./settings.js"

const logLevels = ["error", "warn", "info", "debug"] as const

export const tlsSpecs = {
	tlsCert: {schema: kinds.path, description: "Certificate file (PEM)"},
	tlsKey: {schema: kinds.path, description: "Private key file (PEM)"},
	tlsCa: {schema: kinds.path, description: "Authority file (PEM)"}
}

export const commonSpecs = {
	...tlsSpecs,
	id: {schema: kinds.name, description: "Name of this host"},
	failureDomain: {
		schema: kinds.name,
		description: "Failure domain of this host"
	},
	link: {
		schema: kinds.address,
		description: "Address of links between processes",
		placeholder: "ip:port"
	},
	advertise: {
		schema: z.union([kinds.address, z.undefined()]),
		description: "Address that peers reach the link at, when not --link",
		placeholder: "ip:port"
	},
	platform: {
		schema: kinds.url,
		description: "URL of the platform's object API",
		placeholder: "url"
	},
	insecure: {
		schema: kinds.boolean,
		description: "Allow plain text on other than loopback addresses",
		placeholder: "true|false"
	},
	operatorToken: {
		schema: kinds.secret,
		description: "Token that operator calls must carry; none are taken unset",
		secret: true
	},
	statsd: {
		schema: z.union([kinds.address, z.literal("")]).default(""),
		description: "Address of a statsd server for counters",
		placeholder: "ip:port"
	},
	logLevel: {
		schema: z.enum(logLevels).default("info"),
		description: `Lowest level logged: ${logLevels.join(", ")}`
	}
}

/** The address by which other processes reach this one's link server. */
export function advertisedAddress(settings: {
	link: string
	advertise: string | undefined
}): string {
	return settings.advertise ?? settings.link
}
