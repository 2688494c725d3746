/** The order in which a gateway asks the parts of a quota for one request. */

export interface PartOrder {
	/** Parts to ask, one after the other. */
	parts: number[]
	/** Waits that the parts that are passed over stated just before. */
	waits: number[]
}

/**
 * Random order. `refusedMs` has for each part the wait that it stated just before, or
 * undefined. Such parts are passed over, but one part is asked in any case, so that
 * no request is refused without an answer to it.
 */
export function orderParts(
	refusedMs: readonly (number | undefined)[],
	random: () => number
): PartOrder {
	const ranked = refusedMs
		.map((waitMs, part) => ({part, waitMs, rank: random()}))
		.sort((a, b) => a.rank - b.rank)
	const open = ranked.filter(({waitMs}) => waitMs === undefined)
	const refused = ranked
		.flatMap(({part, waitMs}) => (waitMs === undefined ? [] : [{part, waitMs}]))
		.sort((a, b) => a.waitMs - b.waitMs)
	const passedOver = open.length === 0 ? refused.slice(1) : refused
	const asked = open.length === 0 ? refused.slice(0, 1) : open
	return {
		parts: asked.map(({part}) => part),
		waits: passedOver.map(({waitMs}) => waitMs)
	}
}
