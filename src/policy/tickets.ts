/**
 * Tickets: keys that an endpoint process mints itself, so that calls with them
 * need no write to the platform and go on through its outages.
 *
 * A ticket names the only process that may send its call. That process
 * remembers each ticket it saw used, until long after it expired; once the
 * process is gone nobody knows, so the outcome is unknown and the call is never
 * sent by another.
 */
import {Step} from "../contract/errors.js"
import {type KeyScope, keyText} from "./claimHome.js"
import type {StoredAnswer} from "./claimLog.js"
import {
	keyReused,
	notRun,
	replay,
	resultOf,
	stillRunning,
	trimAnswer,
	unknown
} from "./claimResults.js"
import {
	ClaimRefusal,
	type LogResult,
	SendEnd,
	type SendOutcome
} from "./claimTypes.js"

/** What a ticket says in plain text; its code covers the scope as well. */
export interface TicketClaims {
	hostId: string
	incarnation: number
	expiresAt: number
	/** Unguessable, and unique to the ticket. */
	nonce: string
}

export interface ParsedTicket extends TicketClaims {
	/** Message authentication code, by the secret of the incarnation. */
	code: string
}

const ticketPrefix = "t1"

/** The text before the code. */
function formatClaims(claims: TicketClaims): string {
	const {hostId, incarnation, expiresAt, nonce} = claims
	const host = encodeURIComponent(hostId).replaceAll(".", "%2E")
	return [ticketPrefix, host, incarnation, expiresAt, nonce].join(".")
}

/** The text that the code is computed over. */
export function signedText(claims: TicketClaims, scope: KeyScope): string {
	return keyText(scope, formatClaims(claims))
}

export function formatTicket({code, ...claims}: ParsedTicket): string {
	return `${formatClaims(claims)}.${code}`
}

/** Undefined when the text is not a ticket; the code is not checked. */
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

/** One attempt with a ticket. */
export interface TicketCall {
	/** Identifies the attempt within this process. */
	id: number
	/** Undefined when the key is not a ticket. */
	ticket: ParsedTicket | undefined
	/** True when the code matches the ticket and the scope of the call. */
	isAuthentic: boolean
	bodyHash: string
	deadline: number
}

export enum TicketActionType {
	/** Send the call of attempt `callId`, then report `endCall`. */
	Send = "send",
	End = "end"
}

export type TicketAction =
	| {type: TicketActionType.Send; nonce: string; callId: number}
	| {type: TicketActionType.End; callId: number; result: LogResult}

export interface TicketLedgerOptions {
	hostId: string
	incarnation: number
	/** How long after its expiry a used ticket is remembered. */
	retentionMs: number
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
	forgetAt: number
	answer?: StoredAnswer
	/** Attempts that wait for the answer; the first one is sent. */
	waiters: TicketCall[]
}

/** The tickets of this incarnation that were used. */
export class TicketLedger {
	private readonly uses = new Map<string, TicketUse>()
	private actions: TicketAction[] = []

	constructor(private readonly options: TicketLedgerOptions) {}

	get size(): number {
		return this.uses.size
	}

	/** Decides what an attempt gets. */
	addCall(call: TicketCall, now: number): TicketAction[] {
		this.judge(call, now)
		return this.takeActions()
	}

	/** Takes the result of a call that was sent. */
	endCall(nonce: string, outcome: SendOutcome): TicketAction[] {
		const use = this.uses.get(nonce)
		if (use?.state !== UseState.Running) return []
		const waiters = use.waiters.splice(0)
		this.recordEnd(nonce, use, outcome)
		for (const [index, call] of waiters.entries()) {
			this.end(call, resultOf(outcome, index > 0))
		}
		return this.takeActions()
	}

	/** Ends attempts past their deadline and forgets old tickets. */
	expire(now: number): TicketAction[] {
		for (const [nonce, use] of this.uses) {
			if (use.state === UseState.Running) this.expireWaiters(use, now)
			else if (use.forgetAt <= now) this.uses.delete(nonce)
		}
		return this.takeActions()
	}

	private judge(call: TicketCall, now: number): void {
		const {ticket} = call
		if (ticket === undefined) {
			this.end(call, notRun(ClaimRefusal.TicketInvalid, "not a ticket"))
			return
		}
		if (!this.isOwn(ticket)) {
			const {hostId, incarnation} = ticket
			const minter = `${hostId}, incarnation ${incarnation}`
			const detail = `only ${minter}, knows the ticket`
			this.end(call, unknown(Step.Claim, detail))
			return
		}
		if (!call.isAuthentic) {
			const detail = "the ticket is forged or bound to another call"
			this.end(call, notRun(ClaimRefusal.TicketInvalid, detail))
			return
		}
		const use = this.uses.get(ticket.nonce)
		if (use === undefined) this.begin(call, ticket, now)
		else this.joinOrReplay(call, use)
	}

	private isOwn({hostId, incarnation}: ParsedTicket): boolean {
		const {options} = this
		return hostId === options.hostId && incarnation === options.incarnation
	}

	private begin(call: TicketCall, ticket: ParsedTicket, now: number): void {
		const {nonce, expiresAt} = ticket
		const forgetAt = expiresAt + this.options.retentionMs
		if (forgetAt <= now) {
			const detail = "uses of the ticket are forgotten"
			this.end(call, unknown(Step.Claim, detail))
			return
		}
		if (expiresAt <= now) {
			const detail = "the ticket expired"
			this.end(call, notRun(ClaimRefusal.TicketExpired, detail))
			return
		}
		if (call.deadline <= now) {
			this.end(call, notRun(ClaimRefusal.Deadline, "the deadline passed"))
			return
		}
		const state = UseState.Running
		const {bodyHash} = call
		this.uses.set(nonce, {state, bodyHash, forgetAt, waiters: [call]})
		this.actions.push({type: TicketActionType.Send, nonce, callId: call.id})
	}

	private joinOrReplay(call: TicketCall, use: TicketUse): void {
		if (use.bodyHash !== call.bodyHash) this.end(call, keyReused)
		else if (use.state === UseState.Running) use.waiters.push(call)
		else this.end(call, replay(use.answer))
	}

	private recordEnd(nonce: string, use: TicketUse, outcome: SendOutcome): void {
		switch (outcome.end) {
			case SendEnd.Answered:
				use.state = UseState.Answered
				use.answer = trimAnswer(outcome.answer, this.options.maxAnswerChars)
				return
			case SendEnd.NotStarted:
				this.uses.delete(nonce)
				return
			case SendEnd.Unknown:
				use.state = UseState.Uncertain
		}
	}

	private expireWaiters(use: TicketUse, now: number): void {
		const late = use.waiters.filter(({deadline}) => deadline <= now)
		if (late.length === 0) return
		use.waiters = use.waiters.filter(call => !late.includes(call))
		for (const call of late) this.end(call, stillRunning)
	}

	private end({id: callId}: TicketCall, result: LogResult): void {
		this.actions.push({type: TicketActionType.End, callId, result})
	}

	private takeActions(): TicketAction[] {
		const {actions} = this
		this.actions = []
		return actions
	}
}
