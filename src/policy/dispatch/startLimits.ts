/**
 * The times that the next event of a generation has to meet: `objectiveAt` to be on
 * time, `startBy` to be of use at all.
 */

/**
 * Callers stop waiting for an event after a multiple of the route's objective,
 * well before their deadline. An event later than this multiple is of no use.
 */
const startTimeoutObjectives = 2.5
/**
 * Share of the time to the deadline that may pass before the next event; the
 * rest is needed for the events that follow.
 */
const maxStartShare = 0.6

export interface StartLimitsOptions {
	now: number
	arrivedAt: number
	deadline: number
	/** Latency objective of the first event. */
	objectiveMs: number
	/** Longest gap between two events that meets the objective. */
	eventGapMs: number
	/** Whether an engine may have run the request, so that this is a resumption. */
	mayHaveRun: boolean
	/** Whether the caller has received an event. */
	hasStarted: boolean
}

export interface StartLimits {
	/** A later event is late. */
	objectiveAt: number
	/** A later event is of no use to the caller. */
	startBy: number
}

export function getStartLimits(options: StartLimitsOptions): StartLimits {
	return {
		objectiveAt: getObjectiveTime(options),
		startBy: getStartDeadline(options)
	}
}

/**
 * A caller that is already reading notices a pause, so a stream that has begun has
 * the event gap; otherwise the route's objective counts from the arrival.
 */
function getObjectiveTime(options: StartLimitsOptions): number {
	const {now, arrivedAt, objectiveMs, eventGapMs, hasStarted} = options
	return hasStarted ? now + eventGapMs : arrivedAt + objectiveMs
}

function getStartDeadline(options: StartLimitsOptions): number {
	const {now, arrivedAt, deadline, objectiveMs, mayHaveRun} = options
	const since = mayHaveRun ? now : arrivedAt
	const startTimeoutMs = objectiveMs * startTimeoutObjectives
	return since + Math.min(startTimeoutMs, (deadline - since) * maxStartShare)
}
