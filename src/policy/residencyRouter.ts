/**
 * Routes to where the adapter is resident or loading, else to its stable short
 * list of homes, and spills when the expected wait exceeds the cost of a load.
 */
import {getRendezvousScore, getUnitValue, hashString} from "./rendezvous.js"
import {Router} from "./router.js"
import type {EndpointView, RouteQuery, RouterOptions} from "./router.js"
import type {AdapterName} from "./types.js"

interface Candidate {
	view: EndpointView
	idHash: number
	costMs: number
}

interface RecentChoice {
	endpoint: string
	until: number
}

const defaultOptions: RouterOptions = {homes: 3, serviceMs: 4000}

/** A load counts this many times its own time, as all share the loads. */
const loadCostFactor = 12
/** Costs closer than this are near-equal. */
const nearTieMs = 40
/** Preference for the entry's own failure domain among near-equals. */
const sameDomainBonusMs = 20
/** Time a choice stands in for a report that does not show it yet. */
const recentChoiceMs = 3000
/** Endpoint processes that a choice names. */
const maxChoices = 8
const maxRecentChoices = 8192
const maxIdHashes = 8192

export class ResidencyRouter extends Router {
	private readonly options: RouterOptions
	private readonly idHashes = new Map<string, number>()
	private readonly recent = new Map<AdapterName, RecentChoice>()

	constructor(options: Partial<RouterOptions> = {}) {
		super()
		this.options = {...defaultOptions, ...options}
	}

	choose(
		query: RouteQuery,
		endpoints: readonly EndpointView[],
		now: number,
		random: number
	): string[] {
		const views = getAdmitting(query, endpoints)
		const candidates =
			query.adapter === ""
				? this.rankByLoad(views)
				: this.rankByAdapter(query, views, now)
		this.addTieBreaks(candidates, query, random)
		const best = selectBest(candidates)
		this.remember(query.adapter, best, now)
		return best.map(candidate => candidate.view.id)
	}

	private rankByLoad(views: readonly EndpointView[]): Candidate[] {
		const serviceMs = this.options.serviceMs
		return views.map(view => ({
			view,
			idHash: this.hashId(view.id),
			costMs: (countRequests(view) * serviceMs) / Math.max(1, view.seats)
		}))
	}

	private rankByAdapter(
		query: RouteQuery,
		views: readonly EndpointView[],
		now: number
	): Candidate[] {
		const candidates = views.map(view => ({
			view,
			idHash: this.hashId(view.id),
			costMs: getWaitMs(view, this.options.serviceMs)
		}))
		const homes = this.findHomes(query.adapter, candidates)
		const recent = this.findRecent(query.adapter, now)
		for (const candidate of candidates) {
			const {view} = candidate
			candidate.costMs += getLoadCostMs(query.adapter, view, homes, recent)
		}
		return candidates
	}

	/** The candidates with the highest rendezvous scores, best first. */
	private findHomes(
		adapter: AdapterName,
		candidates: readonly Candidate[]
	): string[] {
		const keyHash = hashString(adapter)
		const best: {id: string; score: number}[] = []
		for (const {view, idHash} of candidates) {
			const score = getRendezvousScore(keyHash, idHash, view.slots)
			const last = best[this.options.homes - 1]
			if (last && last.score >= score) continue
			if (last) best.pop()
			best.push({id: view.id, score})
			best.sort((a, b) => b.score - a.score)
		}
		return best.map(home => home.id)
	}

	private findRecent(adapter: AdapterName, now: number): string | undefined {
		const choice = this.recent.get(adapter)
		return choice && choice.until > now ? choice.endpoint : undefined
	}

	private remember(
		adapter: AdapterName,
		candidates: readonly Candidate[],
		now: number
	): void {
		const endpoint = candidates[0]?.view.id
		if (adapter === "" || endpoint === undefined) return
		this.recent.delete(adapter)
		this.recent.set(adapter, {endpoint, until: now + recentChoiceMs})
		this.forgetOldest(now)
	}

	/** The map is in order of expiry, as each choice is inserted anew. */
	private forgetOldest(now: number): void {
		for (const [adapter, choice] of this.recent) {
			const isFull = this.recent.size > maxRecentChoices
			if (choice.until > now && !isFull) return
			this.recent.delete(adapter)
		}
	}

	/** Equal costs differ by domain, by prompt prefix, and by chance. */
	private addTieBreaks(
		candidates: readonly Candidate[],
		query: RouteQuery,
		random: number
	): void {
		const chance = Math.floor(random * 2 ** 32)
		const seed = query.prefixHash === 0 ? chance : query.prefixHash
		for (const candidate of candidates) {
			const {failureDomain} = candidate.view
			const isNear = failureDomain === query.failureDomain
			candidate.costMs += nearTieMs * getUnitValue(seed, candidate.idHash)
			if (isNear) candidate.costMs -= sameDomainBonusMs
		}
	}

	private hashId(id: string): number {
		const known = this.idHashes.get(id)
		if (known !== undefined) return known
		if (this.idHashes.size >= maxIdHashes) this.idHashes.clear()
		const hash = hashString(id)
		this.idHashes.set(id, hash)
		return hash
	}
}

/** Endpoints that take new work and have not been tried for this request. */
export function getAdmitting(
	query: RouteQuery,
	endpoints: readonly EndpointView[]
): EndpointView[] {
	return endpoints.filter(
		view => view.admitting && !query.excluded.has(view.id)
	)
}

/** Requests there, by the last report and by what was sent since. */
export function countRequests(view: EndpointView): number {
	return view.running + view.queued + view.ownUnreported
}

/** Expected wait for a seat, in milliseconds. */
export function getWaitMs(view: EndpointView, serviceMs: number): number {
	const seats = Math.max(1, view.seats)
	const ahead = countRequests(view) - seats + 1
	return (Math.max(0, ahead) * serviceMs) / seats
}

/** The candidates of least cost, in order. */
function selectBest(candidates: readonly Candidate[]): Candidate[] {
	const best: Candidate[] = []
	for (const candidate of candidates) {
		const last = best[maxChoices - 1]
		if (last && last.costMs <= candidate.costMs) continue
		if (last) best.pop()
		insertInOrder(best, candidate)
	}
	return best
}

function insertInOrder(best: Candidate[], candidate: Candidate): void {
	let index = best.length
	while (index > 0 && (best[index - 1]?.costMs ?? 0) > candidate.costMs) {
		index -= 1
	}
	best.splice(index, 0, candidate)
}

/** Expected time to load the adapter there, and the preference for homes. */
function getLoadCostMs(
	adapter: AdapterName,
	view: EndpointView,
	homes: readonly string[],
	recent: string | undefined
): number {
	if (view.resident.has(adapter)) return 0
	if (view.loading.has(adapter)) return view.loadMs / 2
	if (recent === view.id) return view.loadMs
	const home = homes.indexOf(view.id)
	const position = home === -1 ? homes.length : home
	return view.loadMs * (loadCostFactor + position)
}
