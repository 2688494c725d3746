/** Counts how calls ended, by route and Member, with their delays. */
import {build, type Histogram} from "hdr-histogram-js"
import {CallEnd, type CallResult} from "./caller.js"
import type {PlannedCall} from "./plan.js"

export type EndCounts = Record<CallEnd, number>

export interface DelaySummary {
	count: number
	mean: number
	p50: number
	p95: number
	p99: number
	max: number
}

export interface RouteSummary {
	route: string
	calls: number
	ends: EndCounts
	elapsedMs: DelaySummary
	/** Of answered drafts; empty for calls to a plain service. */
	loadStallMs: DelaySummary
	firstTokenMs: DelaySummary
}

export interface MemberSummary {
	member: string
	calls: number
	answered: number
}

export interface LoadSummary {
	calls: number
	ends: EndCounts
	/** Why calls ended other than answered, the most frequent first. */
	reasons: {reason: string; count: number}[]
	routes: RouteSummary[]
	/** The Members with the lowest answered share first. */
	members: MemberSummary[]
	betweenTokensMs: DelaySummary
	tokens: number
	repeats: number
}

const highestMs = 600_000
const maxMembersListed = 10
/** Keeps fractions of a millisecond in a histogram of integers. */
const unitsPerMs = 100

/** A histogram of delays in milliseconds. */
class Delays {
	private readonly histogram: Histogram = build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: highestMs * unitsPerMs,
		numberOfSignificantValueDigits: 3
	})

	add(ms: number): void {
		const value = Math.round(ms * unitsPerMs)
		this.histogram.recordValue(Math.max(0, value))
	}

	summarize(): DelaySummary {
		const {histogram} = this
		const at = (percentile: number): number =>
			histogram.getValueAtPercentile(percentile) / unitsPerMs
		const count = histogram.totalCount
		if (count === 0) return {count, mean: 0, p50: 0, p95: 0, p99: 0, max: 0}
		const mean = Math.round(histogram.mean) / unitsPerMs
		const max = histogram.maxValue / unitsPerMs
		return {count, mean, p50: at(50), p95: at(95), p99: at(99), max}
	}
}

interface RouteTally {
	ends: EndCounts
	elapsed: Delays
	loadStall: Delays
	firstToken: Delays
}

export class LoadTally {
	private readonly ends = noEnds()
	private readonly reasons = new Map<string, number>()
	private readonly routes = new Map<string, RouteTally>()
	private readonly members = new Map<string, MemberSummary>()
	private readonly betweenTokens = new Delays()
	private tokens = 0
	private repeats = 0

	add({kind, member}: PlannedCall, result: CallResult): void {
		this.ends[result.end] += 1
		this.repeats += result.sends - 1
		this.countReason(kind.route, result)
		this.countRoute(kind.route, result)
		this.countMember(member, result.end)
		this.tokens += result.tokens ?? 0
		for (const gap of result.tokenGapsMs ?? []) this.betweenTokens.add(gap)
	}

	summarize(): LoadSummary {
		const reasons = [...this.reasons].map(([reason, count]) => ({
			reason,
			count
		}))
		const members = [...this.members.values()]
		return {
			calls: sumEnds(this.ends),
			ends: {...this.ends},
			reasons: reasons.sort((a, b) => b.count - a.count),
			routes: [...this.routes].map(([route, tally]) => ({
				route,
				calls: sumEnds(tally.ends),
				ends: {...tally.ends},
				elapsedMs: tally.elapsed.summarize(),
				loadStallMs: tally.loadStall.summarize(),
				firstTokenMs: tally.firstToken.summarize()
			})),
			members: members
				.sort((a, b) => shareOf(a) - shareOf(b))
				.slice(0, maxMembersListed),
			betweenTokensMs: this.betweenTokens.summarize(),
			tokens: this.tokens,
			repeats: this.repeats
		}
	}

	private countReason(route: string, {end, reason}: CallResult): void {
		if (end === CallEnd.Answered) return
		const key = `${route}: ${end} ${reason}`.trim()
		this.reasons.set(key, (this.reasons.get(key) ?? 0) + 1)
	}

	private countRoute(route: string, result: CallResult): void {
		const tally = this.routes.get(route) ?? createRouteTally()
		this.routes.set(route, tally)
		tally.ends[result.end] += 1
		if (result.end !== CallEnd.Answered) return
		tally.elapsed.add(result.elapsedMs)
		const {firstTokenMs, loadStallMs} = result
		if (firstTokenMs === undefined) return
		tally.firstToken.add(firstTokenMs)
		tally.loadStall.add(loadStallMs ?? 0)
	}

	private countMember(member: string, end: CallEnd): void {
		const counts = this.members.get(member) ?? {member, calls: 0, answered: 0}
		this.members.set(member, counts)
		counts.calls += 1
		if (end === CallEnd.Answered) counts.answered += 1
	}
}

function createRouteTally(): RouteTally {
	return {
		ends: noEnds(),
		elapsed: new Delays(),
		loadStall: new Delays(),
		firstToken: new Delays()
	}
}

function noEnds(): EndCounts {
	return {
		answered: 0,
		late: 0,
		notRun: 0,
		unknown: 0,
		cut: 0,
		rejected: 0,
		wrong: 0
	}
}

function sumEnds(ends: EndCounts): number {
	return Object.values(ends).reduce((sum, count) => sum + count, 0)
}

function shareOf({calls, answered}: MemberSummary): number {
	return answered / calls
}
