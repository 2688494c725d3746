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
		description: "Address for callers' HTTP requests",
		placeholder: "ip:port"
	},
	peers: {
		schema: settingSchemas.addresses,
		description:
			"Link addresses of other entries that the host list may not have yet",
		placeholder: "ip:port,ip:port"
	},
	callerCert: {
		schema: settingSchemas.path,
		description: "Certificate file for callers' connections (PEM)"
	},
	callerKey: {
		schema: settingSchemas.path,
		description: "Private key file for callers' connections (PEM)"
	},
	memberSecret: {
		schema: settingSchemas.secret,
		description:
			"Secret that signs Members' bearer tokens; if unset, x-member is trusted",
		secret: true
	},
	drainMs: {
		schema: integerSchema(0, maxDrainMs, defaultDrainMs),
		description: "Maximum time that a planned stop waits for running requests"
	},
	lameDuckMs: {
		schema: integerSchema(0, maxLameDuckMs, defaultLameDuckMs),
		description:
			"At a planned stop, time between reporting not ready and closing the listener"
	},
	policy: {
		schema: z.enum(PolicyName).default(PolicyName.Adapter),
		description: `Routing policy: ${Object.values(PolicyName).join(", ")}`
	}
}

export type EntrySettings = SettingsOf<typeof entrySpecs>
