/** Settings of every daemon. */
import {z} from "zod"
import {kinds} from "./settings.js"

const logLevels = ["error", "warn", "info", "debug"] as const

export const tlsSpecs = {
	tlsCert: {schema: kinds.path, description: "Certificate file (PEM)"},
	tlsKey: {schema: kinds.path, description: "Private key file (PEM)"},
	tlsCa: {schema: kinds.path, description: "Certificate authority file (PEM)"}
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
		description:
			"Address at which this process accepts gRPC connections from other processes",
		placeholder: "ip:port"
	},
	advertise: {
		schema: z.union([kinds.address, z.undefined()]),
		description: "Address at which peers reach the link, if other than --link",
		placeholder: "ip:port"
	},
	platform: {
		schema: kinds.url,
		description: "URL of the platform's object API",
		placeholder: "url"
	},
	insecure: {
		schema: kinds.boolean,
		description: "Allow addresses other than loopback without TLS",
		placeholder: "true|false"
	},
	operatorToken: {
		schema: kinds.secret,
		description:
			"Token that operator calls must send; if unset, all are rejected",
		secret: true
	},
	statsd: {
		schema: z.union([kinds.address, z.literal("")]).default(""),
		description: "Address of a StatsD server that receives the counters",
		placeholder: "ip:port"
	},
	logLevel: {
		schema: z.enum(logLevels).default("info"),
		description: `Minimum severity to log: ${logLevels.join(", ")}`
	}
}

/** Returns the address at which other processes reach this one's link server. */
export function advertisedAddress(settings: {
	link: string
	advertise: string | undefined
}): string {
	return settings.advertise ?? settings.link
}
