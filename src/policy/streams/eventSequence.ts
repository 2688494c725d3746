/**
 * The ids of the events that one caller receives, and whether an event may follow
 * them. Ids increase; engines mostly count events by one, which nothing requires.
 */

/** Why an event can't follow those that the caller has. */
export enum SequenceDefect {
	Repeated = "an event again",
	Skipped = "a later event than the next",
	Incomparable = "an id of another kind"
}

/** Longer numbers can't be compared exactly. */
const countPattern = /^\d{1,15}$/

export class EventSequence {
	private lastId: string | undefined
	/** Distance between ids while it is the same for all; undefined if unknown. */
	private step: number | undefined
	private hasEqualSteps = true

	/** `resumedAfter` is the last event that the caller states to have. */
	constructor(resumedAfter?: string) {
		// What a caller states may be of any kind, and is then no proof against an engine.
		if (resumedAfter !== undefined && countPattern.test(resumedAfter))
			this.lastId = resumedAfter
	}

	/**
	 * Why an event can't be the next one; undefined if it can. An engine's first event
	 * joins its run to that of another engine: where ids counted evenly, it must go on
	 * so. Later ones are passed on as the engine numbers them.
	 */
	findDefect(id: string, isFirstOfRun: boolean): SequenceDefect | undefined {
		const {lastId, step, hasEqualSteps} = this
		if (lastId === undefined) return undefined
		if (id === lastId) return SequenceDefect.Repeated
		const isCounted = countPattern.test(lastId)
		if (countPattern.test(id) !== isCounted) return SequenceDefect.Incomparable
		if (!isCounted) return undefined
		const distance = Number(id) - Number(lastId)
		if (distance <= 0) return SequenceDefect.Repeated
		const isEven = hasEqualSteps && step !== undefined
		if (isFirstOfRun && isEven && distance > step) return SequenceDefect.Skipped
		return undefined
	}

	add(id: string): void {
		const {lastId} = this
		this.lastId = id
		if (lastId === undefined) {
			// Ids that begin at 1 count events; other ones may begin anywhere.
			if (id === "1") this.step = 1
			return
		}
		const distance = Number(id) - Number(lastId)
		this.step ??= distance
		if (distance !== this.step) this.hasEqualSteps = false
	}
}
