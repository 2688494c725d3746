/**
 * Routes a request to the endpoint process of least expected cost: the wait for
 * a seat plus the load of the adapter. That prefers a process where the adapter
 * is resident or loading, then the adapter's homes, a few processes chosen by
 * rendezvous hashing. When the wait there exceeds the cost of a load, another
 * process gets the request.
 */
import {
	getRendezvousScore,
	hashString,
	hashToUnitInterval
} from "./rendezvous.js"
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
	expiresAt: number
}

const defaultOptions: RouterOptions = {homeCount: 3, serviceMs: 4000}

/**
 * A load's cost as a multiple of its time. It exceeds 1 because all processes
 * share the weight store, so that each load also delays those of others.
 */
const loadCostFactor = 12
/**
 * Upper bound of the tie-break cost, which decides between candidates of
 * similar cost.
 */
const tieBreakRangeMs = 40
/**
 * Cost reduction in the entry's own failure domain. It is small, so that it
 * decides only between candidates of similar cost.
 */
const sameDomainBonusMs = 20
/**
 * Time for which the router assumes that the process chosen last for an adapter
 * is loading it, although no report shows that yet.
 */
const recentChoiceTtlMs = 3000
/** Number of endpoint processes that `choose` returns at most. */
const maxChoices = 8
const maxRecentChoices = 8192
const maxCachedIdHashes = 8192

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
		const views = filterAdmitting(query, endpoints)
		const candidates =
			query.adapter === ""
				? this.estimateCostsByLoad(views)
				: this.estimateCostsByAdapter(query, views, now)
		this.addTieBreaks(candidates, query, random)
		const best = selectBest(candidates)
		this.rememberChoice(query.adapter, best, now)
		return best.map(candidate => candidate.view.id)
	}

	private estimateCostsByLoad(views: readonly EndpointView[]): Candidate[] {
		const serviceMs = this.options.serviceMs
		return views.map(view => ({
			view,
			idHash: this.hashId(view.id),
			costMs: (countRequests(view) * serviceMs) / Math.max(1, view.seats)
		}))
	}

	private estimateCostsByAdapter(
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
		const recent = this.findRecentChoice(query.adapter, now)
		for (const candidate of candidates) {
			const {view} = candidate
			candidate.costMs += getLoadCostMs(query.adapter, view, homes, recent)
		}
		return candidates
	}

	/** Ids of the adapter's homes: the highest rendezvous scores, best first. */
	private findHomes(
		adapter: AdapterName,
		candidates: readonly Candidate[]
	): string[] {
		const keyHash = hashString(adapter)
		const best: {id: string; score: number}[] = []
		for (const {view, idHash} of candidates) {
			const score = getRendezvousScore(keyHash, idHash, view.slots)
			const last = best[this.options.homeCount - 1]
			if (last && last.score >= score) continue
			if (last) best.pop()
			best.push({id: view.id, score})
			best.sort((a, b) => b.score - a.score)
		}
		return best.map(home => home.id)
	}

	private findRecentChoice(
		adapter: AdapterName,
		now: number
	): string | undefined {
		const choice = this.recent.get(adapter)
		return choice && choice.expiresAt > now ? choice.endpoint : undefined
	}

	private rememberChoice(
		adapter: AdapterName,
		candidates: readonly Candidate[],
		now: number
	): void {
		const endpoint = candidates[0]?.view.id
		if (adapter === "" || endpoint === undefined) return
		this.recent.delete(adapter)
		this.recent.set(adapter, {endpoint, expiresAt: now + recentChoiceTtlMs})
		this.evictChoices(now)
	}

	/**
	 * Deletes expired choices, and the oldest ones above the size limit. The map
	 * is in order of expiry, because `rememberChoice` inserts each choice last.
	 */
	private evictChoices(now: number): void {
		for (const [adapter, choice] of this.recent) {
			const isFull = this.recent.size > maxRecentChoices
			if (choice.expiresAt > now && !isFull) return
			this.recent.delete(adapter)
		}
	}

	/**
	 * Adds a small cost that depends on the hash of the prompt's prefix, so that
	 * prompts with equal prefixes prefer the same process and hit its prefix
	 * cache. Without a prefix (hash 0) the cost is random. Reduces the cost in the
	 * entry's own failure domain.
	 */
	private addTieBreaks(
		candidates: readonly Candidate[],
		query: RouteQuery,
		random: number
	): void {
		const chance = Math.floor(random * 2 ** 32)
		const seed = query.prefixHash === 0 ? chance : query.prefixHash
		for (const candidate of candidates) {
			const {failureDomain} = candidate.view
			const isSameDomain = failureDomain === query.failureDomain
			candidate.costMs +=
				tieBreakRangeMs * hashToUnitInterval(seed, candidate.idHash)
			if (isSameDomain) candidate.costMs -= sameDomainBonusMs
		}
	}

	private hashId(id: string): number {
		const cached = this.idHashes.get(id)
		if (cached !== undefined) return cached
		if (this.idHashes.size >= maxCachedIdHashes) this.idHashes.clear()
		const hash = hashString(id)
		this.idHashes.set(id, hash)
		return hash
	}
}

/** Endpoint processes that admit work and were not tried for this request. */
export function filterAdmitting(
	query: RouteQuery,
	endpoints: readonly EndpointView[]
): EndpointView[] {
	return endpoints.filter(
		view => view.admitting && !query.excluded.has(view.id)
	)
}

/** Requests there by the last report, plus those this entry sent since. */
export function countRequests(view: EndpointView): number {
	return view.running + view.queued + view.unreportedOwnRequests
}

/** Expected wait for a free seat. */
export function getWaitMs(view: EndpointView, serviceMs: number): number {
	const seats = Math.max(1, view.seats)
	const queuedAhead = countRequests(view) - seats + 1
	return (Math.max(0, queuedAhead) * serviceMs) / seats
}

/** The `maxChoices` candidates of least cost, cheapest first. */
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

/**
 * Expected cost of getting the adapter loaded there: 0 where it is resident,
 * half a load where it is loading, and one load where it was chosen recently.
 * Elsewhere it is a multiple of a load that rises with the position among the
 * adapter's homes and is highest off the homes.
 */
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
