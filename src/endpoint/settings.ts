/** Settings of the endpoint process. */
import {z} from "zod"
import {PolicyName} from "../policy/policyName.js"
import {
	integerSchema,
	settingSchemas,
	type SettingsOf
} from "../program/settings.js"
import {commonSpecs} from "../program/commonSpecs.js"

const maxDrainMs = 3_600_000
const defaultDrainMs = 120_000

export const endpointSpecs = {
	...commonSpecs,
	pool: {
		schema: settingSchemas.name,
		description: "Pool that this host serves"
	},
	workers: {
		schema: settingSchemas.urls,
		description: "URLs of the engines or plain services of this host",
		placeholder: "url,url"
	},
	entries: {
		schema: settingSchemas.addresses,
		description:
			"Link addresses of entries to which this host announces itself",
		placeholder: "ip:port,ip:port"
	},
	health: {
		schema: z.union([settingSchemas.address, z.undefined()]),
		description: "Address of the health check server; if unset, there is none",
		placeholder: "ip:port"
	},
	drainMs: {
		schema: integerSchema(0, maxDrainMs, defaultDrainMs),
		description: "Maximum time that a planned stop waits for running requests"
	},
	policy: {
		schema: z.enum(PolicyName).default(PolicyName.Adapter),
		description: `Scheduling policy: ${Object.values(PolicyName).join(", ")}`
	}
}

export type EndpointSettings = SettingsOf<typeof endpointSpecs>
