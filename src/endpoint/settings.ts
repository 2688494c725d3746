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
		description: "URLs of its engines or plain services",
		placeholder: "url,url"
	},
	entries: {
		schema: settingSchemas.addresses,
		description: "Link addresses of entries, to announce itself to",
		placeholder: "ip:port,ip:port"
	},
	health: {
		schema: z.union([settingSchemas.address, z.undefined()]),
		description: "Address of health routes; none when unset",
		placeholder: "ip:port"
	},
	drainMs: {
		schema: integerSchema(0, maxDrainMs, defaultDrainMs),
		description: "Longest time a planned stop waits for running work"
	},
	policy: {
		schema: z.enum(PolicyName).default(PolicyName.Adapter),
		description: `Decisions to run with: ${Object.values(PolicyName).join(", ")}`
	}
}

export type EndpointSettings = SettingsOf<typeof endpointSpecs>
