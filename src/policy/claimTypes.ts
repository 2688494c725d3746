/** Calls, results, events, actions and options of `ClaimBucket`. */
import type {Step} from "../contract/errors.js"
import type {WriteOutcome} from "../link/platform.js"
import type {
	ClaimHead,
	ClaimOwner,
	ClaimSegment,
	SegmentRef,
	StoredAnswer
} from "./claimLog.js"

/** Why a call certainly did not run. */
export enum ClaimRefusal {
	Deadline = "deadline",
	PlatformUnavailable = "platformUnavailable",
	/** The key was used before with another body. */
	KeyReused = "keyReused",
	TicketExpired = "ticketExpired",
	/** The ticket is malformed, forged, or bound to another Member or route. */
	TicketInvalid = "ticketInvalid",
	/** The endpoint refused the call before it started. */
	EndpointRefused = "endpointRefused"
}

export enum ClaimResultType {
	Answered = "answered",
	NotRun = "notRun",
	Unknown = "unknown",
	Redirect = "redirect"
}

export interface AnsweredResult<Answer> {
	type: ClaimResultType.Answered
	answer: Answer
	/** True when another attempt with the same key sent the call. */
	replayed: boolean
}

export interface NotRunResult {
	type: ClaimResultType.NotRun
	reason: ClaimRefusal
	detail: string
	retryAfterMs: number
}

export interface UnknownResult {
	type: ClaimResultType.Unknown
	step: Step
	detail: string
}

/** Another process claimed the key; only that process can answer the call. */
export interface RedirectResult {
	type: ClaimResultType.Redirect
	hostId: string
	address: string
	incarnation: number
}

/** Result of a keyed call, with the body encoded as in the log. */
export type StoredCallResult =
	AnsweredResult<StoredAnswer> | NotRunResult | UnknownResult | RedirectResult

/** Outcome of sending a call to the endpoint, as far as the sender can tell. */
export enum SendEnd {
	Answered = "answered",
	/** Certainly not started: not sent, or refused before the start. */
	NotStarted = "notStarted",
	/** The call may have run. */
	Unknown = "unknown"
}

export type SendOutcome =
	| {end: SendEnd.Answered; answer: StoredAnswer}
	| {end: SendEnd.NotStarted; detail: string; retryAfterMs: number}
	| {end: SendEnd.Unknown; step: Step; detail: string}

/** One attempt of a caller at a call with an idempotency key. */
export interface KeyedCall {
	/** Identifies the attempt within this process. */
	id: number
	/** Hash of Member, route and key. */
	key: string
	bodyHash: string
	deadline: number
	/** True when another process may have sent an attempt with this key. */
	mayHaveBeenSent: boolean
	/** True when the caller asserts that it has not used this key before. */
	isFirstAttempt: boolean
}

export enum ClaimEventType {
	Call = "call",
	WriteEnded = "writeEnded",
	SegmentWritten = "segmentWritten",
	HeadRead = "headRead",
	SegmentsRead = "segmentsRead",
	ReadFailed = "readFailed",
	CallEnded = "callEnded",
	OwnerGone = "ownerGone",
	/**
	 * Read the log before a call needs it. Until the first read, retries that are
	 * refused in an outage end as `Unknown` instead of `NotRun`.
	 */
	Sync = "sync",
	/**
	 * The log may hold unread claims of other processes, because this process was
	 * paused or its buckets had another home for a time. Until the next read or
	 * successful write, refused retries end as `Unknown` instead of `NotRun`.
	 */
	MayBeStale = "doubt",
	/** The time of `ClaimBucket.nextTickAt` has come. */
	Tick = "tick",
	/** Write queued entries without delay, as the process is shutting down. */
	Flush = "flush"
}

export type ClaimEvent =
	| {type: ClaimEventType.Call; call: KeyedCall}
	| {
			type: ClaimEventType.WriteEnded
			outcome: WriteOutcome
			version: number
	  }
	| {type: ClaimEventType.SegmentWritten; outcome: WriteOutcome}
	| {
			type: ClaimEventType.HeadRead
			/** Undefined when the bucket has no head object yet. */
			head: ClaimHead | undefined
			version: number
	  }
	| {
			type: ClaimEventType.SegmentsRead
			/** In the order of `refs`; undefined for those that do not exist. */
			segments: (ClaimSegment | undefined)[]
	  }
	| {type: ClaimEventType.ReadFailed}
	| {
			type: ClaimEventType.CallEnded
			key: string
			/** Id of the claim, as in `ClaimEntry`; not of a caller's attempt. */
			attempt: string
			outcome: SendOutcome
	  }
	| {type: ClaimEventType.OwnerGone; hostId: string; incarnation: number}
	| {type: ClaimEventType.Sync}
	| {type: ClaimEventType.MayBeStale}
	| {type: ClaimEventType.Tick}
	| {type: ClaimEventType.Flush}

export enum ClaimActionType {
	ReadHead = "readHead",
	ReadSegments = "readSegments",
	WriteHead = "writeHead",
	WriteSegment = "writeSegment",
	RemoveSegment = "removeSegment",
	/** Send the call of attempt `callId` to the endpoint. */
	Send = "send",
	/** Return the result of attempt `callId` to its caller. */
	End = "end"
}

export type ClaimAction =
	| {type: ClaimActionType.ReadHead}
	| {type: ClaimActionType.ReadSegments; refs: SegmentRef[]}
	| {type: ClaimActionType.WriteHead; head: ClaimHead; expected: number}
	| {
			type: ClaimActionType.WriteSegment
			id: string
			segment: ClaimSegment
	  }
	| {type: ClaimActionType.RemoveSegment; id: string}
	| {
			type: ClaimActionType.Send
			key: string
			/** Id of the claim, as in `ClaimEntry`; not of a caller's attempt. */
			attempt: string
			callId: number
	  }
	| {type: ClaimActionType.End; callId: number; result: StoredCallResult}

export interface ClaimOptions {
	pool: string
	bucket: number
	owner: ClaimOwner
	/** Unique to this start of the process, even if incarnations collide. */
	processId: string
	/**
	 * A number in [0, 1); if it differs between processes, so do their retries. A
	 * backoff lasts half of its full delay at 0 and nearly all of it at 1.
	 */
	jitter?: number
	/** Delay of a claim's write, so that later claims can share the write. */
	groupMs?: number
	/** Shortest time between two writes of this bucket by this process. */
	writeIntervalMs?: number
	/**
	 * Delay after which an outcome, release or uncertain entry is written without
	 * a claim; until then it stays queued to share the write of one.
	 */
	outcomeDelayMs?: number
	/**
	 * Longest time a call waits for its claim to be written or, if another process
	 * has claimed its key, for the log to be read. Also the retry delay of callers
	 * whose claim was not written in that time.
	 */
	claimWaitMs?: number
	/**
	 * Delay after the first failed call to the platform, doubled after each
	 * further failure up to `retryMaxMs`; `jitter` reduces it by up to half.
	 */
	retryBaseMs?: number
	retryMaxMs?: number
	/**
	 * How long a key is remembered after its claim. A later call with the key is
	 * treated as new and is sent again.
	 */
	retentionMs?: number
	/** Longer answers are stored without their body. */
	maxAnswerChars?: number
	/** Size of a head's batches above which they move to a segment. */
	maxHeadChars?: number
	/** Largest size of a merged segment. */
	maxSegmentChars?: number
	/** Number of small segments at which they are merged into one. */
	mergeCount?: number
	/** Largest total size of the entries in one batch. */
	maxBatchChars?: number
}

/** Defaults of the optional settings in `ClaimOptions`. */
export const defaultClaimOptions = {
	jitter: 0.5,
	groupMs: 2,
	writeIntervalMs: 20,
	outcomeDelayMs: 1_000,
	claimWaitMs: 1_000,
	retryBaseMs: 25,
	retryMaxMs: 2_000,
	retentionMs: 24 * 60 * 60 * 1_000,
	maxAnswerChars: 16 * 1_024,
	maxHeadChars: 16 * 1_024,
	maxSegmentChars: 512 * 1_024,
	mergeCount: 24,
	maxBatchChars: 256 * 1_024
}
