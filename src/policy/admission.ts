/**
 * Decides on arrival whether a request can meet its deadline, and how long a
 * refused caller should wait before it tries again.
 */
import type {Draft} from "./types.js"

/** What the estimate of a request's start depends on. */
export interface Backlog {
	/** Seats of the workers that are up. */
	seats: number
	freeSeats: number
	/** Waiting requests whose adapter is resident. */
	runnable: number
	/** Adapters that are to be loaded before the request's own. */
	loadsAhead: number
	loadsPerSecond: number
	loadMs: number
	/** Part of its slack that the request may wait for its load. */
	maxLoadWaitShare: number
	isResident: boolean
	isLoading: boolean
	/** Expected seat time of the request, and of those ahead of it. */
	serviceMs: number
	typicalServiceMs: number
}

export interface Verdict {
	isAdmitted: boolean
	waitMs: number
	retryAfterMs: number
}

const minRetryAfterMs = 200
const maxRetryAfterMs = 60_000

export function admit(draft: Draft, backlog: Backlog, now: number): Verdict {
	const loadWaitMs = getLoadWaitMs(backlog)
	const waitMs = Math.max(getSeatWaitMs(backlog), loadWaitMs)
	const slackMs = draft.deadline - now - backlog.serviceMs
	const stalledMs = loadWaitMs - slackMs * backlog.maxLoadWaitShare
	const lateMs = Math.max(waitMs - slackMs, stalledMs)
	return {
		isAdmitted: lateMs <= 0,
		waitMs,
		retryAfterMs: clampRetryAfterMs(lateMs)
	}
}

/** Time until the queue has shrunk by `excess` requests. */
export function getDrainMs(backlog: Backlog, excess: number): number {
	const perSeat = backlog.typicalServiceMs / Math.max(1, backlog.seats)
	return clampRetryAfterMs(excess * perSeat)
}

export function clampRetryAfterMs(ms: number): number {
	const bounded = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, ms))
	return Math.ceil(bounded)
}

function getSeatWaitMs(backlog: Backlog): number {
	const ahead = backlog.runnable + 1 - backlog.freeSeats
	if (ahead <= 0) return 0
	return (ahead * backlog.typicalServiceMs) / Math.max(1, backlog.seats)
}

function getLoadWaitMs(backlog: Backlog): number {
	if (backlog.isResident) return 0
	if (backlog.isLoading) return backlog.loadMs
	const queuedMs = (backlog.loadsAhead * 1000) / backlog.loadsPerSecond
	return queuedMs + backlog.loadMs
}
