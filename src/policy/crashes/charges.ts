/**
 * Which parts of prompts explain the crashes of engines. Of the parts that were at a
 * crash and not answered since, those that were at most crashes are charged with it;
 * what another part explains better is charged with nothing.
 */

/** A crash with the parts that were not answered since. */
export interface OpenCrash {
	at: number
	suspects: ReadonlySet<string>
}

/** Parts of which one has caused a crash, and nothing tells them apart. */
export interface Charge {
	parts: readonly string[]
	/** Crashes at which each of the parts was; those at one moment count once. */
	crashes: number
	lastCrashAt: number
}

/** Engines that crash within this time have a common cause, such as a lost rack. */
const commonCauseMs = 100

export function listCharges(open: readonly OpenCrash[]): Charge[] {
	const crashes = [...open].sort((a, b) => a.at - b.at)
	const counts = countMoments(crashes)
	const charges = new Map<string, Charge>()
	for (const {at, suspects} of crashes) {
		const ranked = Array.from(suspects, part => counts.get(part) ?? 0)
		const most = Math.max(...ranked)
		const parts = [...suspects]
			.filter(part => counts.get(part) === most)
			.sort((a, b) => (a < b ? -1 : 1))
		charges.set(parts.join(" "), {parts, crashes: most, lastCrashAt: at})
	}
	return [...charges.values()]
}

/** Counts, for each part, the moments of crashes in which it is a suspect. */
function countMoments(crashes: readonly OpenCrash[]): Map<string, number> {
	const counts = new Map<string, number>()
	let momentAt = Number.NEGATIVE_INFINITY
	let counted = new Set<string>()
	for (const {at, suspects} of crashes) {
		if (at - momentAt > commonCauseMs) {
			momentAt = at
			counted = new Set()
		}
		for (const part of suspects) {
			if (counted.has(part)) continue
			counted.add(part)
			counts.set(part, (counts.get(part) ?? 0) + 1)
		}
	}
	return counts
}
