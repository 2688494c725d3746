/**
 * Remembers which endpoints left, so that neither an older copy of the store nor
 * a late message brings one back.
 *
 * - An endpoint that stated in an answer that it is leaving has left until another
 *   incarnation of it registers, whatever the store lists.
 * - An endpoint that was draining in an earlier era of the store is still leaving:
 *   the copy from which the store returned may be older than the drain.
 * - An endpoint that was removed in an earlier era is withheld while a copy of its
 *   registration may remain. Live endpoints renew theirs; the others expire.
 */
import {compareRevisions, type StoreRevision} from "./storeRevision.js"

/** What a registration says of its endpoint, as far as it matters here. */
export interface Registration extends StoreRevision {
	id: string
	/** Start time of the incarnation, Unix milliseconds; 0 when unknown. */
	bornAt: number
}

export enum Standing {
	/** The registration is valid as it is. */
	Registered = "registered",
	/** It gets no new requests. */
	Leaving = "leaving",
	/** Not used until it was registered for `withholdMs`. */
	Withheld = "withheld",
	/** Older than what is known of the endpoint. */
	Outdated = "outdated"
}

interface Leaving {
	bornAt: number
	/** Store era in which it was draining; -Infinity if it stated that it leaves. */
	sinceEra: number
}

/**
 * Time in which the registration of a dead endpoint expires: three heartbeats of
 * 1.2 s, and 2 s more after the store was away.
 */
export const withholdMs = 5600
/** Departures remembered; the oldest are forgotten first. */
const maxRemembered = 10_000

export class Departures {
	private readonly leavings = new Map<string, Leaving>()
	private readonly removals = new Map<string, Registration>()

	/** Records that an endpoint stated in an answer that it is leaving. */
	addStatement(id: string, bornAt: number): void {
		this.leavings.delete(id)
		this.leavings.set(id, {bornAt, sinceEra: Number.NEGATIVE_INFINITY})
		dropOldest(this.leavings)
	}

	/** Records that the store listed the endpoint as draining. */
	addDrain({id, bornAt, era}: Registration): void {
		const known = this.leavings.get(id)
		if (known !== undefined && isSameBirth(known.bornAt, bornAt)) return
		this.leavings.set(id, {bornAt, sinceEra: era})
		dropOldest(this.leavings)
	}

	/** Forgets a drain that the endpoint took back; a statement stays. */
	deleteDrain(id: string): void {
		const known = this.leavings.get(id)
		if (known !== undefined && known.sinceEra > 0) this.leavings.delete(id)
	}

	addRemoval(removal: Registration): void {
		this.removals.delete(removal.id)
		this.removals.set(removal.id, removal)
		dropOldest(this.removals)
	}

	/** Forgets a removal once the endpoint is in use again. */
	deleteRemoval(id: string): void {
		this.removals.delete(id)
	}

	listRemovals(): Registration[] {
		return [...this.removals.values()]
	}

	judge(registration: Registration): Standing {
		const {id, bornAt, era} = registration
		const removal = this.removals.get(id)
		if (removal !== undefined) {
			if (compareRevisions(registration, removal) < 0) return Standing.Outdated
			const isCopy = era > removal.era && isSameBirth(bornAt, removal.bornAt)
			if (isCopy) return Standing.Withheld
		}
		const leaving = this.leavings.get(id)
		if (leaving === undefined) return Standing.Registered
		if (!isSameBirth(leaving.bornAt, bornAt)) {
			this.leavings.delete(id)
			return Standing.Registered
		}
		return era > leaving.sinceEra ? Standing.Leaving : Standing.Registered
	}
}

/** An unknown start time may be that of the same incarnation. */
function isSameBirth(a: number, b: number): boolean {
	return a === b || a === 0 || b === 0
}

function dropOldest(entries: Map<string, unknown>): void {
	if (entries.size <= maxRemembered) return
	const [oldest] = entries.keys()
	if (oldest !== undefined) entries.delete(oldest)
}
