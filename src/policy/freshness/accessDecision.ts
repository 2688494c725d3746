/**
 * Decides by its key, and by the age of the proof that the configuration is the
 * newest, whether a request may be accepted and sent.
 */
export enum Access {
	Permitted = "permitted",
	MissingKey = "missingKey",
	UnknownKey = "unknownKey",
	/** The key is not known, and the configuration may not be the newest. */
	UnprovenKey = "unprovenKey",
	/** The key was known when the request arrived. */
	RemovedKey = "removedKey",
	/** The configuration may not be the newest, so the key may have been removed. */
	Unproven = "unproven"
}

export interface AccessQuery {
	hasKey: boolean
	isKnown: boolean
	/** Whether the request was accepted with this key before. */
	wasAccepted: boolean
	/** Age of the proof; infinite if there is none. */
	proofAgeMs: number
	/** Age from which no request may be sent; undefined for any. */
	maxProofAgeMs: number | undefined
}

/**
 * Covers suspensions that are too short to be told from adjustments of the time of
 * day, of 400 ms in all.
 */
const proofMarginMs = 500
/**
 * Without faults, the proof of a gateway that follows others is at most 2.1 s old:
 * two watches of 0.5 s and a question each second. A key may be used 3 s after it was
 * written.
 */
export const newKeyProofAgeMs = 2500

/** The largest age of proof with which a request may be sent. */
export function getMaxProofAgeMs(revokeMs: number): number {
	return revokeMs - proofMarginMs
}

/** Decides on a request to a route that requires a key. */
export function decideAccess(query: AccessQuery): Access {
	const {hasKey, isKnown, wasAccepted, proofAgeMs, maxProofAgeMs} = query
	if (!hasKey) return Access.MissingKey
	// A configuration in force that is not the newest is newer than the one with the key.
	if (!isKnown && wasAccepted) return Access.RemovedKey
	if (!isKnown) {
		return proofAgeMs < newKeyProofAgeMs
			? Access.UnknownKey
			: Access.UnprovenKey
	}
	const isProven = maxProofAgeMs === undefined || proofAgeMs < maxProofAgeMs
	return isProven ? Access.Permitted : Access.Unproven
}
