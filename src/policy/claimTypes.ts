/** Calls, results, events and actions of the claim state machine. */
import type {Step} from "../contract/errors.js"
import type {WriteOutcome} from "../link/platform.js"
import type {
	ClaimHead,
	ClaimOwner,
	ClaimSegment,
	SegmentRef,
	StoredAnswer
} from "./claimLog.js"

/** Why a call ended without having been sent. */
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
	/** True when the answer was given before, to an earlier attempt. */
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

/** Only the owner of the key can answer. */
export interface RedirectResult {
	type: ClaimResultType.Redirect
	hostId: string
	address: string
	incarnation: number
}

/** How a keyed call ended, with bodies as stored in the log. */
export type LogResult =
	AnsweredResult<StoredAnswer> | NotRunResult | UnknownResult | RedirectResult

/** How sending a call to the endpoint ended. */
export enum SendEnd {
	Answered = "answered",
	/** Provably not started: never sent, or refused before the start. */
	NotStarted = "notStarted",
	/** It may have run. */
	Unknown = "unknown"
}

export type SendOutcome =
	| {end: SendEnd.Answered; answer: StoredAnswer}
	| {end: SendEnd.NotStarted; detail: string; retryAfterMs: number}
	| {end: SendEnd.Unknown; step: Step; detail: string}

/** One attempt of a caller, as the state machine sees it. */
export interface KeyedCall {
	/** Identifies the attempt within this process. */
	id: number
	/** Hash of Member, route and key. */
	key: string
	bodyHash: string
	deadline: number
	/** True when an earlier attempt of this key may have been sent elsewhere. */
	mayHaveBeenSent: boolean
	/** True when the caller states that it never used this key before. */
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
	/** Read the log before the first call needs it. */
	Sync = "sync",
	/** Others may have appended unseen: this process was paused or cut off. */
	Doubt = "doubt",
	/** Time has passed. */
	Tick = "tick",
	/** Record everything as soon as possible: the process is leaving. */
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
			/** Undefined when the object does not exist. */
			head: ClaimHead | undefined
			version: number
	  }
	| {
			type: ClaimEventType.SegmentsRead
			/** In the order asked for; undefined when one does not exist. */
			segments: (ClaimSegment | undefined)[]
	  }
	| {type: ClaimEventType.ReadFailed}
	| {
			type: ClaimEventType.CallEnded
			key: string
			attempt: string
			outcome: SendOutcome
	  }
	| {type: ClaimEventType.OwnerGone; hostId: string; incarnation: number}
	| {type: ClaimEventType.Sync}
	| {type: ClaimEventType.Doubt}
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
	/** End the attempt `callId`. */
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
			attempt: string
			callId: number
	  }
	| {type: ClaimActionType.End; callId: number; result: LogResult}

export interface ClaimOptions {
	pool: string
	bucket: number
	owner: ClaimOwner
	/** Unique to this run of the process, also if incarnations collide. */
	processId: string
	/** A number in [0, 1) that spreads retries of different processes. */
	jitter?: number
	/** Claims that arrive this close together are written together. */
	groupMs?: number
	/** Shortest time between two writes of this bucket by this process. */
	writeIntervalMs?: number
	/** Longest time an outcome waits for a claim to be written with. */
	outcomeDelayMs?: number
	/** Longest time a call waits for its claim. */
	claimWaitMs?: number
	/** First and longest wait between attempts to reach the platform. */
	retryBaseMs?: number
	retryMaxMs?: number
	/** How long keys are remembered. */
	retentionMs?: number
	/** Larger answers are recorded without their body. */
	maxAnswerChars?: number
	/** A head that holds more is moved to a segment. */
	maxHeadChars?: number
	/** Segments are merged up to this size. */
	maxSegmentChars?: number
	/** Number of small segments that are merged into one. */
	mergeCount?: number
	maxBatchChars?: number
}

/** Used where an option is absent. */
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
