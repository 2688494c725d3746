/**
 * Admission control: decides on arrival whether a request can meet its deadline,
 * and otherwise after what time the caller should retry.
 */
import type {Draft} from "./types.js"

/** The engines' load, from which the start of a request is estimated. */
export interface Backlog {
	/** Seats of the workers that are up. */
	seats: number
	freeSeats: number
	/** Queued requests, not held back, whose adapter is resident. */
	runnable: number
	/** Adapters that will be loaded before the request's own. */
	loadsAhead: number
	loadsPerSecond: number
	loadMs: number
	/** Fraction of its slack that the request may spend waiting for its adapter. */
	maxLoadWaitShare: number
	isResident: boolean
	isLoading: boolean
	/** Expected time for which the request occupies a seat. */
	serviceMs: number
	/** The same for the requests ahead of it. */
	typicalServiceMs: number
}

export interface Verdict {
	isAdmitted: boolean
	/** Expected wait for a seat and the adapter. */
	waitMs: number
	retryAfterMs: number
}

const minRetryAfterMs = 200
const maxRetryAfterMs = 60_000

export function admit(draft: Draft, backlog: Backlog, now: number): Verdict {
	const loadWaitMs = getLoadWaitMs(backlog)
	const waitMs = Math.max(getSeatWaitMs(backlog), loadWaitMs)
	const slackMs = draft.deadline - now - backlog.serviceMs
	const excessLoadWaitMs = loadWaitMs - slackMs * backlog.maxLoadWaitShare
	const lateMs = Math.max(waitMs - slackMs, excessLoadWaitMs)
	return {
		isAdmitted: lateMs <= 0,
		waitMs,
		retryAfterMs: clampRetryAfterMs(lateMs)
	}
}

/** Expected time until `excess` requests have left the queue, as a retry time. */
export function getDrainMs(backlog: Backlog, excess: number): number {
	const msPerRequest = backlog.typicalServiceMs / Math.max(1, backlog.seats)
	return clampRetryAfterMs(excess * msPerRequest)
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
