/**
 * How old a gateway's view of the store may be while other gateways deliver the store's
 * changes to it.
 */

export interface ViewLimits {
	/** Age from which a view is not relied on, milliseconds. */
	maxAgeMs: number
	/**
	 * Longest duration of one watch of a gateway on which others rely, milliseconds. It
	 * can't tell a store without changes from one that is lost until its watch returns.
	 */
	maxWatchMs: number
}

/** Time in which a gateway reads the store once it no longer relies on others. */
const readMs = 500
/** Time between a read of the store and the update that states it, with some delay. */
const updateDelayMs = 1000
const minAgeMs = 250
const minWatchMs = 250
const longestWatchMs = 1500

/** `applyMs` is the time within which a change has to be in force at each gateway. */
export function getViewLimits(applyMs: number): ViewLimits {
	const maxAgeMs = Math.max(minAgeMs, applyMs - readMs)
	const watchMs = Math.max(minWatchMs, maxAgeMs - updateDelayMs)
	return {maxAgeMs, maxWatchMs: Math.min(longestWatchMs, watchMs)}
}
