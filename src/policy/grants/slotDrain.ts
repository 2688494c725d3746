/**
 * Frees an adapter slot for a request that goes first but whose adapter has none. As
 * long as requests behind it are granted on every resident adapter, none of these
 * becomes free, so grants on one of them are withheld from the requests behind.
 */
import {slotKey} from "../../contract/fleet.js"
import type {QueueContext} from "./queueOrder.js"
import type {RequestCost} from "./requestCost.js"
import type {GrantRequest} from "./types.js"

/** Keys of the waiting requests that are not to be granted for now. */
export function listWithheld(
	ranked: readonly GrantRequest[],
	context: QueueContext,
	cost: RequestCost,
	now: number
): Set<string> {
	const withheld = new Set<string>()
	const {slots} = context
	if (slots.countAvailable() > 0 || slots.isChanging) return withheld
	const first = ranked.findIndex(request => lacksSlot(request, context))
	if (first < 0) return withheld
	const ahead = new Set(ranked.slice(0, first).map(getAdapterKey))
	const draining = findFirstFree(ahead, context, cost, now)
	for (const request of ranked.slice(first + 1)) {
		if (getAdapterKey(request) === draining) withheld.add(request.key)
	}
	return withheld
}

function lacksSlot(
	{model, adapter}: GrantRequest,
	{slots}: QueueContext
): boolean {
	if (adapter === "" || !slots.models.residentNames.has(model)) return false
	return !slots.hasSlot(slotKey(model, adapter))
}

/** The adapter, not one of `wanted`, whose granted requests end first. */
function findFirstFree(
	wanted: ReadonlySet<string>,
	{slots, grants}: QueueContext,
	cost: RequestCost,
	now: number
): string | undefined {
	const ends = new Map<string, number>()
	for (const key of slots.listResident()) {
		if (!wanted.has(key)) ends.set(key, now)
	}
	for (const {request, grantedAt} of grants.list()) {
		const key = getAdapterKey(request)
		const known = ends.get(key)
		if (known === undefined) continue
		ends.set(key, Math.max(known, grantedAt + cost.getHoldMs(request)))
	}
	let first: string | undefined
	let firstAt = Number.POSITIVE_INFINITY
	for (const [key, at] of ends) {
		if (at >= firstAt) continue
		firstAt = at
		first = key
	}
	return first
}

function getAdapterKey({model, adapter}: GrantRequest): string {
	return slotKey(model, adapter)
}
