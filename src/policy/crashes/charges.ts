/**
 * Which parts of prompts explain the crashes of engines. Of the parts that were at a
 * crash and not answered since, those with the most evidence are charged with it;
 * what another part explains better is charged with nothing.
 */

/** A crash with the parts that were not answered since, if there are any. */
export interface OpenCrash {
	at: number
	suspects: ReadonlySet<string>
	/**
	 * Whether an answer had begun on the suspects, as it has on what crashes an engine.
	 * Else they were on their way, as any part may be when an engine ends.
	 */
	hasBegun: boolean
	/** Suspects that were sent after a crash under the same attempt of their caller. */
	repeated: ReadonlySet<string>
}

/** Parts of which one has caused a crash, and nothing tells them apart. */
export interface Charge {
	parts: readonly string[]
	/** Crashes at which each of the parts was; those at one moment count once. */
	crashes: number
	/** Engines that each of the parts was at when they crashed. */
	engines: number
	/** Whether no engine without the parts crashed at these moments. */
	isAtAll: boolean
	/** As `crashes`, less where no answer had begun or other engines crashed as well. */
	evidence: number
	firstCrashAt: number
	lastCrashAt: number
}

interface Tally {
	crashes: number
	engines: number
	/** Engines that crashed at these moments, with the part or without. */
	enginesInAll: number
	firstCrashAt: number
	evidence: number
}

const emptyTally: Tally = {
	crashes: 0,
	engines: 0,
	enginesInAll: 0,
	firstCrashAt: Number.POSITIVE_INFINITY,
	evidence: 0
}

/** Engines that crash within this time have a common cause, such as a lost rack. */
const commonCauseMs = 100
/** What a crash counts at which no answer had begun on the part. */
const waitingEvidence = 0.5

export function listCharges(open: readonly OpenCrash[]): Charge[] {
	const crashes = [...open].sort((a, b) => a.at - b.at)
	const tallies = tallyMoments(crashes)
	const charges = new Map<string, Charge>()
	for (const {at, suspects} of crashes) {
		if (suspects.size === 0) continue
		const parts = [...suspects].sort((a, b) => (a < b ? -1 : 1))
		const getEvidence = (part: string): number =>
			tallies.get(part)?.evidence ?? 0
		const evidence = Math.max(...parts.map(getEvidence))
		const leaders = parts.filter(part => getEvidence(part) === evidence)
		const leading = leaders.flatMap(part => tallies.get(part) ?? [])
		charges.set(leaders.join(" "), {
			parts: leaders,
			crashes: Math.max(...leading.map(tally => tally.crashes)),
			engines: Math.min(...leading.map(tally => tally.engines)),
			isAtAll: leading.every(tally => tally.engines === tally.enginesInAll),
			firstCrashAt: Math.min(...leading.map(tally => tally.firstCrashAt)),
			evidence,
			lastCrashAt: at
		})
	}
	return [...charges.values()]
}

/** Adds up, for each part, the moments of crashes in which it is a suspect. */
function tallyMoments(crashes: readonly OpenCrash[]): Map<string, Tally> {
	const tallies = new Map<string, Tally>()
	for (const moment of groupMoments(crashes)) {
		const parts = new Set(moment.flatMap(({suspects}) => [...suspects]))
		for (const part of parts) {
			const known = tallies.get(part) ?? emptyTally
			const withPart = moment.filter(({suspects}) => suspects.has(part))
			tallies.set(part, {
				crashes: known.crashes + 1,
				engines: known.engines + withPart.length,
				enginesInAll: known.enginesInAll + moment.length,
				firstCrashAt: Math.min(known.firstCrashAt, withPart[0]?.at ?? 0),
				evidence: round(known.evidence + weighMoment(moment, part))
			})
		}
	}
	return tallies
}

/** What the crashes of one moment count against a part. */
function weighMoment(moment: readonly OpenCrash[], part: string): number {
	const withPart = moment.filter(({suspects}) => suspects.has(part))
	const weights = withPart.map(({hasBegun}) => (hasBegun ? 1 : waitingEvidence))
	const sum = weights.reduce((total, weight) => total + weight, 0)
	const isFollowed = withPart.slice(1).every(crash => crash.repeated.has(part))
	if (isFollowed && withPart.length === moment.length) return sum
	// A part that was at one of several engines doesn't explain the others.
	return sum / moment.length
}

/** Makes equal evidence compare as equal. */
function round(evidence: number): number {
	return Math.round(evidence * 1e6) / 1e6
}

function groupMoments(crashes: readonly OpenCrash[]): OpenCrash[][] {
	const moments: OpenCrash[][] = []
	for (const crash of crashes) {
		const moment = moments.at(-1)
		const startedAt = moment?.[0]?.at ?? Number.NEGATIVE_INFINITY
		if (moment === undefined || crash.at - startedAt > commonCauseMs)
			moments.push([crash])
		else moment.push(crash)
	}
	return moments
}
