/**
 * The order while requests carry Members. From the first to the last criterion:
 *
 * 1. Some requests of kinds that are served far less often than all together; for
 *    Members within their share, also of kinds served less often than less urgent ones.
 * 2. Requests of Members within their share; in each group, those that can still meet
 *    their objective go before the late ones. So a late request of such a Member,
 *    such as one whose adapter had to be loaded, goes before the others' backlog.
 * 3. Members by how far they are ahead of their share, in steps of the tolerance.
 *    Each waiting request counts the Member's requests that go before it.
 * 4. Urgency: the Member's priority, then the route's.
 * 5. The earliest objective, later by the Member's lead. Otherwise a Member whose
 *    requests always arrive last would lose every tie.
 *
 * Admission counts only what is served before a request. An arrival displaces the
 * waiting requests of lower rank that it leaves no room for, and these are refused
 * at once. Less urgent requests leave a reserve, see `UrgencyDemand`, and requests
 * behind one that needs an adapter slot let one become free, see `slotDrain.ts`.
 */
import {slotKey} from "../../contract/fleet.js"
import {ReturnSchedule} from "../limits/index.js"
import {countUsableSeats, getGrantableTokens} from "./capacity.js"
import {DecayingSum} from "./decayingSum.js"
import {type ActiveGrant, countReservedTokens} from "./grantTable.js"
import {MemberShares, shareToleranceMs} from "./memberShares.js"
import type {AdapterDemand} from "./orderPlan.js"
import {type QueueContext, QueueOrder, type Refusal} from "./queueOrder.js"
import {RequestCost} from "./requestCost.js"
import {listWithheld} from "./slotDrain.js"
import {StartForecast} from "./startForecast.js"
import {
	GrantRefusalReason,
	type GrantRequest,
	type RequestStanding
} from "./types.js"
import {getUrgency, UrgencyDemand} from "./urgencyDemand.js"

/** A request that waits already is refused for a forecast only beyond this excess,
 * as forecasts vary by some prompts. */
const forecastToleranceMs = 150
/** Waiting requests are forecast again at most this often. */
const forecastIntervalMs = 100
/** Averaging time of the rate at which grants are given. */
const drainAverageMs = 5000
const minRetryAfterMs = 150
/** Bounds of the time between two callers that return. */
const minReturnIntervalMs = 5
const maxReturnIntervalMs = 2000

enum Tier {
	Due,
	OnTime,
	Late
}

interface Place {
	request: GrantRequest
	urgency: number
	costMs: number
	tier: Tier
	/** 0 within the Member's share; else by how many tolerances it is ahead. */
	band: number
	/** How far the Member is ahead of its share when the request's turn comes. */
	leadMs: number
	/** Whether its kind is served less often than a less urgent one. */
	isLagging: boolean
}

export class FairOrder extends QueueOrder {
	readonly holdsRoom = true
	private readonly shares = new MemberShares()
	private readonly demand = new UrgencyDemand()
	private readonly cost: RequestCost
	private readonly forecast: StartForecast
	private readonly returns = new Map<number, ReturnSchedule>()
	private readonly drained = new DecayingSum(drainAverageMs)
	private forecastAt = Number.NEGATIVE_INFINITY
	/** Keys of the requests that were due a grant when last ranked. */
	private due = new Set<string>()
	/** Keys of the requests of Members that are beyond their share. */
	private beyondShare = new Set<string>()
	/** Keys of the requests that are not granted so that a slot becomes free. */
	private withheld = new Set<string>()

	constructor(context: QueueContext) {
		super(context)
		this.cost = new RequestCost(context)
		this.forecast = new StartForecast(context, this.cost)
	}

	rank(now: number): GrantRequest[] {
		const {context, cost} = this
		const places = this.placeAll(context.waiting.list(), now)
		const ranked = places.map(({request}) => request)
		this.beyondShare = new Set(
			places.filter(({band}) => band > 0).map(({request}) => request.key)
		)
		this.withheld = listWithheld(ranked, context, cost, now)
		return ranked
	}

	admit(request: GrantRequest, now: number): Refusal[] {
		const costMs = this.cost.getCostMs(request, this.sharesSlot(request))
		this.shares.addArrival(request, costMs, now)
		this.demand.addArrival(request, this.cost.getHoldMs(request), now)
		const waiting = this.context.waiting.list()
		const places = this.placeAll([...waiting, request], now)
		const own = places.find(place => place.request === request)
		const refusals = this.listTooLate(places, now, request)
		const refused = refusals.find(refusal => refusal.request === request)
		if (refused !== undefined || own === undefined) return refusals
		const displacesEqual = refusals.some(({request: other, displacedBy}) => {
			const place = places.find(({request: placed}) => placed === other)
			return displacedBy !== undefined && place && isEqualRank(place, own)
		})
		if (!displacesEqual) return refusals
		// Among equals, those that were admitted stay.
		const reason = GrantRefusalReason.Overloaded
		const expectedMs = Math.max(...refusals.map(r => r.expectedMs))
		return [{request, reason, expectedMs}]
	}

	listHopeless(now: number): Refusal[] {
		const requests = this.context.waiting.list()
		this.shares.advance(now, requests.length)
		if (requests.length === 0 || now < this.forecastAt) return []
		this.forecastAt = now + forecastIntervalMs
		return this.listTooLate(this.placeAll(requests, now), now)
	}

	leavesReserve(request: GrantRequest, now: number): boolean {
		const {slots, grants} = this.context
		const {limits} = slots
		if (this.withheld.has(request.key)) return false
		if (limits === undefined || grants.size === 0) return true
		if (this.due.has(request.key)) return true
		const isPinned = (key: string): boolean => slots.isPinned(key)
		// A Member beyond its share leaves to the others what is reserved for anyone.
		const isBeyondShare = this.beyondShare.has(request.key)
		const urgency = isBeyondShare
			? Number.POSITIVE_INFINITY
			: getUrgency(request)
		const reserve = this.demand.getReserve(urgency, limits, isPinned, now)
		const tokens = grants.memoryTokens + countReservedTokens(request)
		if (tokens > getGrantableTokens(limits) - reserve.tokens) return false
		if (grants.size + 1 > countUsableSeats(limits) - reserve.seats) return false
		const key = slotKey(request.model, request.adapter)
		if (request.adapter === "" || slots.isPinned(key)) return true
		return slots.countPinned() + 1 <= limits.adapterSlots - reserve.slots
	}

	listDemands(now: number): AdapterDemand[] {
		return this.rank(now).map(request => {
			const {model, adapter} = request
			return {model, adapter, urgency: getUrgency(request)}
		})
	}

	/** When there is room, with a turn of its own for each refused caller. */
	getRetryAfterMs(
		request: GrantRequest,
		expectedMs: number,
		now: number
	): number {
		const urgency = getUrgency(request)
		const excessMs = expectedMs - (request.startBy - now)
		const waitMs = Math.max(minRetryAfterMs, excessMs)
		const intervalMs = this.getReturnIntervalMs(urgency, now)
		let schedule = this.returns.get(urgency)
		if (schedule === undefined) {
			schedule = new ReturnSchedule()
			this.returns.set(urgency, schedule)
		}
		const {deadline} = request
		const returnMs = schedule.assign({waitMs, intervalMs, deadline}, now)
		return returnMs + intervalMs * this.context.random()
	}

	describe(request: GrantRequest): RequestStanding {
		const member = request.member ?? ""
		return {
			member,
			urgency: getUrgency(request),
			costMs: this.cost.getCostMs(request, this.sharesSlot(request)),
			leadMs: this.shares.getLeadMs(member)
		}
	}

	addGrant(request: GrantRequest, now: number): void {
		const costMs = this.cost.getCostMs(request, this.sharesSlot(request))
		this.shares.addGrant(request, costMs, now)
		this.demand.addGrant(request, now)
		this.drained.add(1, now)
	}

	/** Records the end of a request, whichever order granted it. */
	removeGrant(grant: ActiveGrant, now: number): void {
		this.demand.removeGrant(grant.request.key)
		this.cost.addEnded(grant, now)
	}

	/** Forgets what an engine held that has restarted. */
	resetEngine(): void {
		this.demand.clearHeld()
	}

	/** The requests in the order of service. */
	private placeAll(requests: readonly GrantRequest[], now: number): Place[] {
		const places = requests.map(request => this.createPlace(request, now))
		places.sort(compareWithinMember)
		this.markDue(places, now)
		this.assignBands(places)
		return places.sort(comparePlaces)
	}

	private createPlace(request: GrantRequest, now: number): Place {
		const isLate = now + this.cost.getPrefillMs(request) > request.objectiveAt
		return {
			request,
			urgency: getUrgency(request),
			costMs: this.cost.getCostMs(request, this.sharesSlot(request)),
			tier: isLate ? Tier.Late : Tier.OnTime,
			band: 0,
			leadMs: 0,
			isLagging: false
		}
	}

	private markDue(places: readonly Place[], now: number): void {
		this.due = new Set()
		const left = new Map<number, number>()
		for (const place of places) {
			const {urgency} = place
			const count = left.get(urgency) ?? this.demand.countDue(urgency, now)
			left.set(urgency, count - 1)
			place.isLagging = -count < this.demand.countLagging(urgency, now)
			if (count <= 0) continue
			place.tier = Tier.Due
			this.due.add(place.request.key)
		}
	}

	/** `places` are in the order within each Member. */
	private assignBands(places: Place[]): void {
		const leads = new Map<string, number>()
		for (const tier of [Tier.Due, Tier.OnTime, Tier.Late]) {
			for (const place of places) {
				if (place.tier !== tier) continue
				const member = place.request.member ?? ""
				const leadMs = leads.get(member) ?? this.shares.getLeadMs(member)
				place.leadMs = leadMs
				place.band = Math.floor(leadMs / shareToleranceMs)
				const stepMs = this.shares.getStepMs(member, place.costMs)
				leads.set(member, leadMs + stepMs)
			}
		}
	}

	/**
	 * The requests that can't begin by `startBy`, going by the order of service. Those
	 * found too late take no room, so that others behind them may be in time.
	 */
	private listTooLate(
		places: readonly Place[],
		now: number,
		arrival?: GrantRequest
	): Refusal[] {
		const refusals: Refusal[] = []
		let isBehind = false
		const ranked = places.map(({request}) => request)
		this.forecast.walk(ranked, now, (request, expectedMs) => {
			const isArrival = request === arrival
			const toleranceMs = isArrival ? 0 : forecastToleranceMs
			const isInTime = now + expectedMs <= request.startBy + toleranceMs
			if (!isInTime) {
				refusals.push({
					request,
					expectedMs,
					reason: isArrival
						? GrantRefusalReason.Overloaded
						: isBehind
							? GrantRefusalReason.Displaced
							: GrantRefusalReason.Deadline,
					...(isBehind && arrival ? {displacedBy: arrival.key} : {})
				})
			} else if (isArrival) isBehind = true
			return isInTime
		})
		return refusals
	}

	/** Whether another request uses the adapter or waits for it. */
	private sharesSlot({key, model, adapter}: GrantRequest): boolean {
		const {slots, waiting} = this.context
		if (slots.isPinned(slotKey(model, adapter))) return true
		return waiting.isWanted(model, adapter, key)
	}

	/** Time between two returning callers of this urgency: each gets its part of the
	 * rate at which grants are given. */
	private getReturnIntervalMs(urgency: number, now: number): number {
		const perMs = this.drained.getPerMs(now)
		const part = this.demand.getAskedPart(urgency, now)
		const intervalMs = 1 / Math.max(1e-6, perMs * part)
		return Math.min(
			maxReturnIntervalMs,
			Math.max(minReturnIntervalMs, intervalMs)
		)
	}
}

/** Whether nothing but the objectives puts `arrival` before the other. */
function isEqualRank(other: Place, arrival: Place): boolean {
	return (
		other.tier === arrival.tier &&
		other.band === arrival.band &&
		other.urgency === arrival.urgency &&
		other.leadMs <= arrival.leadMs
	)
}

function compareWithinMember(a: Place, b: Place): number {
	return (
		a.tier - b.tier ||
		a.urgency - b.urgency ||
		a.request.objectiveAt - b.request.objectiveAt
	)
}

function comparePlaces(a: Place, b: Place): number {
	return (
		getGroup(a) - getGroup(b) ||
		a.band - b.band ||
		a.tier - b.tier ||
		a.urgency - b.urgency ||
		a.request.objectiveAt + a.leadMs - b.request.objectiveAt - b.leadMs
	)
}

function getGroup({tier, band, isLagging}: Place): number {
	// A kind may lag because its Members are beyond their shares, which is as it should
	// be.
	if (tier === Tier.Due || (isLagging && band === 0)) return -1
	return (band === 0 ? 0 : 2) + (tier === Tier.Late ? 1 : 0)
}
