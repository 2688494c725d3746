/**
 * Tickets: idempotency keys that an endpoint process issues itself. Calls with
 * tickets need no write to the platform, so they also run while it is down.
 *
 * Only the process that issued a ticket may send its call. It keeps the outcome
 * in memory until `retentionMs` after the ticket expired. When the process ends,
 * this knowledge is lost: other processes report the outcome as unknown and
 * never send the call.
 */
import {Step} from "../contract/errors.js"
import {type KeyScope, formatScopedKey} from "./claimHome.js"
import type {StoredAnswer} from "./claimLog.js"
import {
	keyReusedResult,
	createNotRun,
	createReplay,
	createResult,
	stillRunningResult,
	trimAnswer,
	createUnknown
} from "./claimResults.js"
import {
	ClaimRefusal,
	type StoredCallResult,
	SendEnd,
	type SendOutcome
} from "./claimTypes.js"

/** The readable part of a ticket; its code authenticates the scope as well. */
export interface TicketPayload {
	hostId: string
	incarnation: number
	expiresAt: number
	/** Unguessable random text, unique to the ticket. */
	nonce: string
}

export interface ParsedTicket extends TicketPayload {
	/** Message authentication code, keyed with a secret of the incarnation. */
	code: string
}

const ticketPrefix = "t1"

/** Formats a ticket up to its code. */
function formatPayload(payload: TicketPayload): string {
	const {hostId, incarnation, expiresAt, nonce} = payload
	const host = encodeURIComponent(hostId).replaceAll(".", "%2E")
	return [ticketPrefix, host, incarnation, expiresAt, nonce].join(".")
}

/** Formats the text that a ticket's code is computed over. */
export function formatSignedText(
	payload: TicketPayload,
	scope: KeyScope
): string {
	return formatScopedKey(scope, formatPayload(payload))
}

export function formatTicket({code, ...payload}: ParsedTicket): string {
	return `${formatPayload(payload)}.${code}`
}

/** Returns undefined if the text is not a ticket. Does not check the code. */
export function parseTicket(text: string): ParsedTicket | undefined {
	const parts = text.split(".")
	if (parts.length !== 6) return undefined
	const [prefix, host = "", number, expires, nonce = "", code = ""] = parts
	const incarnation = Number(number)
	const expiresAt = Number(expires)
	if (prefix !== ticketPrefix || nonce === "") return undefined
	if (!Number.isSafeInteger(incarnation)) return undefined
	if (!Number.isSafeInteger(expiresAt)) return undefined
	const hostId = decodeHost(host)
	if (hostId === undefined) return undefined
	return {hostId, incarnation, expiresAt, nonce, code}
}

function decodeHost(text: string): string | undefined {
	try {
		return decodeURIComponent(text)
	} catch {
		return undefined
	}
}

/** One attempt of a caller at a call whose key should be a ticket. */
export interface TicketCall {
	/** Identifies the attempt within this process. */
	id: number
	/** Undefined if the key could not be parsed as a ticket. */
	ticket: ParsedTicket | undefined
	/** True when the code matches the ticket and the scope of the call. */
	isAuthentic: boolean
	bodyHash: string
	deadline: number
}

export enum TicketActionType {
	/** Send the call of attempt `callId`, then pass its outcome to `endCall`. */
	Send = "send",
	/** Return the result of attempt `callId` to its caller. */
	End = "end"
}

export type TicketAction =
	| {type: TicketActionType.Send; nonce: string; callId: number}
	| {type: TicketActionType.End; callId: number; result: StoredCallResult}

export interface TicketLedgerOptions {
	hostId: string
	incarnation: number
	/** How long after its expiry the outcome of a used ticket is kept. */
	retentionMs: number
	/** Longer answers are kept without their body. */
	maxAnswerChars: number
}

enum UseState {
	Running,
	Answered,
	Uncertain
}

interface TicketUse {
	state: UseState
	bodyHash: string
	deleteAt: number
	answer?: StoredAnswer
	/**
	 * Attempts that wait for the answer. The first one sent the call, unless that
	 * one was removed because its deadline passed.
	 */
	waiters: TicketCall[]
}

/** The outcomes of used tickets, in the process that issued them. */
export class TicketLedger {
	private readonly usesByNonce = new Map<string, TicketUse>()
	private actions: TicketAction[] = []

	constructor(private readonly options: TicketLedgerOptions) {}

	get size(): number {
		return this.usesByNonce.size
	}

	/** Handles an attempt: sends its call, lets it wait, or ends it. */
	addCall(call: TicketCall, now: number): TicketAction[] {
		this.decide(call, now)
		return this.takeActions()
	}

	/** Keeps the outcome of a sent call and ends the attempts waiting for it. */
	endCall(nonce: string, outcome: SendOutcome): TicketAction[] {
		const use = this.usesByNonce.get(nonce)
		if (use?.state !== UseState.Running) return []
		const waiters = use.waiters.splice(0)
		this.recordOutcome(nonce, use, outcome)
		for (const [index, call] of waiters.entries()) {
			this.end(call, createResult(outcome, index > 0))
		}
		return this.takeActions()
	}

	/** Ends attempts past their deadline and deletes tickets past retention. */
	expire(now: number): TicketAction[] {
		for (const [nonce, use] of this.usesByNonce) {
			if (use.state === UseState.Running) this.expireWaiters(use, now)
			else if (use.deleteAt <= now) this.usesByNonce.delete(nonce)
		}
		return this.takeActions()
	}

	private decide(call: TicketCall, now: number): void {
		const {ticket} = call
		if (ticket === undefined) {
			this.end(call, createNotRun(ClaimRefusal.TicketInvalid, "not a ticket"))
			return
		}
		if (!this.isFromThisIncarnation(ticket)) {
			const {hostId, incarnation} = ticket
			const issuer = `${hostId}, incarnation ${incarnation}`
			const detail = `only ${issuer}, knows the ticket`
			this.end(call, createUnknown(Step.Claim, detail))
			return
		}
		if (!call.isAuthentic) {
			const detail = "the ticket is forged or bound to another call"
			this.end(call, createNotRun(ClaimRefusal.TicketInvalid, detail))
			return
		}
		const use = this.usesByNonce.get(ticket.nonce)
		if (use === undefined) this.startCall(call, ticket, now)
		else this.joinOrReplay(call, use)
	}

	private isFromThisIncarnation({hostId, incarnation}: ParsedTicket): boolean {
		const {options} = this
		return hostId === options.hostId && incarnation === options.incarnation
	}

	private startCall(call: TicketCall, ticket: ParsedTicket, now: number): void {
		const {nonce, expiresAt} = ticket
		const deleteAt = expiresAt + this.options.retentionMs
		if (deleteAt <= now) {
			const detail = "uses of the ticket are forgotten"
			this.end(call, createUnknown(Step.Claim, detail))
			return
		}
		if (expiresAt <= now) {
			const detail = "the ticket expired"
			this.end(call, createNotRun(ClaimRefusal.TicketExpired, detail))
			return
		}
		if (call.deadline <= now) {
			this.end(call, createNotRun(ClaimRefusal.Deadline, "the deadline passed"))
			return
		}
		const state = UseState.Running
		const {bodyHash} = call
		this.usesByNonce.set(nonce, {state, bodyHash, deleteAt, waiters: [call]})
		this.actions.push({type: TicketActionType.Send, nonce, callId: call.id})
	}

	private joinOrReplay(call: TicketCall, use: TicketUse): void {
		if (use.bodyHash !== call.bodyHash) this.end(call, keyReusedResult)
		else if (use.state === UseState.Running) use.waiters.push(call)
		else this.end(call, createReplay(use.answer))
	}

	private recordOutcome(
		nonce: string,
		use: TicketUse,
		outcome: SendOutcome
	): void {
		switch (outcome.end) {
			case SendEnd.Answered:
				use.state = UseState.Answered
				use.answer = trimAnswer(outcome.answer, this.options.maxAnswerChars)
				return
			case SendEnd.NotStarted:
				this.usesByNonce.delete(nonce)
				return
			case SendEnd.Unknown:
				use.state = UseState.Uncertain
		}
	}

	private expireWaiters(use: TicketUse, now: number): void {
		const expired = use.waiters.filter(({deadline}) => deadline <= now)
		if (expired.length === 0) return
		use.waiters = use.waiters.filter(call => !expired.includes(call))
		for (const call of expired) this.end(call, stillRunningResult)
	}

	private end({id: callId}: TicketCall, result: StoredCallResult): void {
		this.actions.push({type: TicketActionType.End, callId, result})
	}

	private takeActions(): TicketAction[] {
		const {actions} = this
		this.actions = []
		return actions
	}
}
