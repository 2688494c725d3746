/** Which agents should hold the parts of the quotas. */
import {rankByRendezvous} from "../rendezvous.js"
import {quotaPartCount} from "./types.js"

export interface PartCandidate {
	id: string
	failureDomain: string
}

export function getPartName(part: number): string {
	return `quota-part-${part}`
}

/**
 * The agent to ask first for each part, in the same order for all gateways with the
 * same agents. Parts are on different agents, and in different failure domains as
 * far as there are enough.
 */
export function placeParts(candidates: readonly PartCandidate[]): string[] {
	const domains = new Map(
		candidates.map(({id, failureDomain}) => [id, failureDomain])
	)
	const items = candidates.map(({id}) => ({id, weight: 1}))
	const chosen: string[] = []
	for (let part = 0; part < quotaPartCount; part += 1) {
		const ranked = rankByRendezvous(getPartName(part), items)
		const usedDomains = new Set(chosen.map(id => domains.get(id)))
		const free = ranked.filter(id => !chosen.includes(id))
		const best = free.find(id => !usedDomains.has(domains.get(id)))
		const id = best ?? free[0] ?? ranked[0]
		if (id !== undefined) chosen.push(id)
	}
	return chosen
}
