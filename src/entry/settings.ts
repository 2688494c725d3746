/** Settings of the entry process. */
import {z} from "zod"
import {PolicyName} from "../policy/policyName.js"
import {commonSpecs} from "../program/commonSpecs.js"
import {
	integerSchema,
	settingSchemas,
	type SettingsOf
} from "../program/settings.js"

const maxDrainMs = 3_600_000
const defaultDrainMs = 120_000
const defaultLameDuckMs = 1500
const maxLameDuckMs = 60_000

export const entrySpecs = {
	...commonSpecs,
	listen: {
		schema: settingSchemas.address,
		description: "Address of the callers' side",
		placeholder: "ip:port"
	},
	peers: {
		schema: settingSchemas.addresses,
		description: "Link addresses of other entries, used before the host list",
		placeholder: "ip:port,ip:port"
	},
	callerCert: {
		schema: settingSchemas.path,
		description: "Certificate file of the callers' side (PEM)"
	},
	callerKey: {
		schema: settingSchemas.path,
		description: "Private key file of the callers' side (PEM)"
	},
	memberSecret: {
		schema: settingSchemas.secret,
		description:
			"Secret that signs Members' bearer tokens; unset, x-member is trusted",
		secret: true
	},
	drainMs: {
		schema: integerSchema(0, maxDrainMs, defaultDrainMs),
		description: "Longest time a planned stop waits for running requests"
	},
	lameDuckMs: {
		schema: integerSchema(0, maxLameDuckMs, defaultLameDuckMs),
		description: "Time between not ready and refusing connections at a stop"
	},
	policy: {
		schema: z.enum(PolicyName).default(PolicyName.Adapter),
		description: `Decisions to run with: ${Object.values(PolicyName).join(", ")}`
	}
}

export type EntrySettings = SettingsOf<typeof entrySpecs>
