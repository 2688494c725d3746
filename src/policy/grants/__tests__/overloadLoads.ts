/** Loads of the heaviest day, for one engine: see docs/design/hard-load.md. */
import type {Call} from "./engineModel.js"

export interface Kind {
	name: string
	priority: number
	objectiveMs: number
	promptTokens: number
	outputTokens: number
	/** Part of all requests. */
	part: number
}

/** The tax office's kinds, by parts of its requests; the least urgent answers most. */
export const kinds: readonly Kind[] = [
	{
		name: "assess-notice",
		priority: 0,
		objectiveMs: 1005,
		promptTokens: 1800,
		outputTokens: 24,
		part: 0.65
	},
	{
		name: "return-summary",
		priority: 1,
		objectiveMs: 1500,
		promptTokens: 1800,
		outputTokens: 60,
		part: 0.13
	},
	{
		name: "deduction-help",
		priority: 2,
		objectiveMs: 2004,
		promptTokens: 1800,
		outputTokens: 171,
		part: 0.22
	}
]

export interface LoadOptions {
	perSecond: number
	untilMs: number
	members?: number
	adapters?: number
	/** Factor on the rate of a Member or kind at a time. */
	getFactor?: (member: number, kind: Kind, at: number) => number
	getQuotaUse?: (member: number, at: number) => number
}

const memberExponent = 1.2

/** Poisson arrivals of Members whose sizes follow a power law of 1.2. */
export function createCalls(
	{
		perSecond,
		untilMs,
		members = 16,
		adapters = 8,
		getFactor = () => 1,
		getQuotaUse = () => 55
	}: LoadOptions,
	random: () => number
): Call[] {
	const sizes = Array.from(
		{length: members},
		(_, index) => (index + 1) ** -memberExponent
	)
	const total = sizes.reduce((sum, size) => sum + size, 0)
	const calls: Call[] = []
	for (const [member, size] of sizes.entries()) {
		for (const kind of kinds) {
			const maxFactor = 10
			const perMs = (perSecond * (size / total) * kind.part * maxFactor) / 1000
			for (let at = 0; ;) {
				at -= Math.log(1 - random()) / perMs
				if (at >= untilMs) break
				if (random() >= getFactor(member, kind, at) / maxFactor) continue
				calls.push({
					at,
					kind: kind.name,
					member: `m${member}`,
					memberPriority: 0,
					priority: kind.priority,
					adapter: `a${Math.floor(random() ** 2 * adapters)}`,
					promptTokens: kind.promptTokens,
					outputTokens: kind.outputTokens,
					objectiveMs: kind.objectiveMs,
					quotaUse: getQuotaUse(member, at)
				})
			}
		}
	}
	return calls.sort((a, b) => a.at - b.at)
}
