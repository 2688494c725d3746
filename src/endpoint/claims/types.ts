/** Options, calls and results of `ClaimTask`. */
import type {Step} from "../../contract/errors.js"
import type {Platform} from "../../link/platform.js"
import type {KeyScope} from "../../policy/claimHome.js"
import type {ClaimOwner} from "../../policy/claimLog.js"
import type {
	ClaimOptions,
	ClaimResultType,
	NotRunResult,
	RedirectResult,
	SendEnd,
	UnknownResult
} from "../../policy/claimTypes.js"

/** One attempt at a keyed call that may run at most once. */
export interface ClaimCall {
	scope: KeyScope
	key: string
	/** Hash of method, path, content type and body. */
	bodyHash: string
	/** Epoch milliseconds by which the caller needs the answer. */
	deadline: number
	/** True when the key is a ticket minted by an endpoint process. */
	ticket?: boolean
	/** True when an earlier attempt of this key may have been sent elsewhere. */
	mayHaveBeenSent?: boolean
	/** True when the caller states that it never used this key before. */
	isFirstAttempt?: boolean
}

/** A complete response of a plain service. */
export interface ServiceAnswer {
	status: number
	contentType: string
	body: Uint8Array
}

/** How sending a call to the service ended. */
export type SendResult =
	| ({end: SendEnd.Answered} & ServiceAnswer)
	| {end: SendEnd.NotStarted; detail: string; retryAfterMs: number}
	| {end: SendEnd.Unknown; step: Step; detail: string}

/** Sends the call once. A rejection is treated as an unknown outcome. */
export type Send = () => Promise<SendResult>

export interface ClaimAnswered extends ServiceAnswer {
	type: ClaimResultType.Answered
	/** True when the answer is that of an earlier attempt with the same key. */
	replayed: boolean
}

export type ClaimResult =
	ClaimAnswered | NotRunResult | UnknownResult | RedirectResult

export interface MintedTicket {
	/** The caller sends it as the idempotency key of one call. */
	ticket: string
	expiresAt: number
}

/**
 * Calls `callback` at the time `at`. The returned function cancels the timer.
 */
export type SetTimer = (callback: () => void, at: number) => () => void

export interface ClaimTaskOptions extends Partial<
	Omit<ClaimOptions, "pool" | "bucket" | "owner" | "processId">
> {
	platform: Platform
	pool: string
	/** Number of buckets of the pool's claim log; the same in all processes. */
	buckets: number
	owner: ClaimOwner
	now?: () => number
	setTimer?: SetTimer
	/** Unique to this run of the process; a ULID when absent. */
	processId?: string
	/** Time after minting in which a ticket can be used. */
	ticketLifeMs?: number
}
