/** Settings of every daemon. */
import {z} from "zod"
import {settingSchemas} from "./settings.js"

const logLevels = ["error", "warn", "info", "debug"] as const

export const tlsSpecs = {
	tlsCert: {schema: settingSchemas.path, description: "Certificate file (PEM)"},
	tlsKey: {schema: settingSchemas.path, description: "Private key file (PEM)"},
	tlsCa: {
		schema: settingSchemas.path,
		description: "Certificate authority file (PEM)"
	}
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
		description:
			"Address at which this process accepts gRPC connections from other processes",
		placeholder: "ip:port"
	},
	advertise: {
		schema: z.union([settingSchemas.address, z.undefined()]),
		description: "Address at which peers reach the link, if other than --link",
		placeholder: "ip:port"
	},
	platform: {
		schema: settingSchemas.url,
		description: "URL of the platform's object API",
		placeholder: "url"
	},
	insecure: {
		schema: settingSchemas.boolean,
		description: "Allow addresses other than loopback without TLS",
		placeholder: "true|false"
	},
	operatorToken: {
		schema: settingSchemas.secret,
		description:
			"Token that operator calls must send; if unset, all are rejected",
		secret: true
	},
	statsd: {
		schema: z.union([settingSchemas.address, z.literal("")]).default(""),
		description: "Address of a StatsD server that receives the counters",
		placeholder: "ip:port"
	},
	logLevel: {
		schema: z.enum(logLevels).default("info"),
		description: `Minimum severity to log: ${logLevels.join(", ")}`
	}
}

/** Returns the address at which other processes reach this one's link server. */
export function getAdvertisedAddress(settings: {
	link: string
	advertise: string | undefined
}): string {
	return settings.advertise ?? settings.link
}
