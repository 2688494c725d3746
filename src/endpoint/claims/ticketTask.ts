/**
 * Mints tickets and runs the calls that come with them. The secret lives and
 * dies with the process, and so does what is known of the tickets.
 */
import {createHmac, randomBytes, timingSafeEqual} from "node:crypto"
import {Step} from "../../contract/errors.js"
import type {KeyScope} from "../../policy/claimHome.js"
import type {ClaimOwner} from "../../policy/claimLog.js"
import type {LogResult} from "../../policy/claimTypes.js"
import {SendEnd} from "../../policy/claimTypes.js"
import {
	formatTicket,
	type ParsedTicket,
	parseTicket,
	signedText,
	type TicketAction,
	TicketActionType,
	type TicketClaims,
	TicketLedger
} from "../../policy/tickets.js"
import {messageOf} from "../../utils/common.js"
import {toSendOutcome} from "./answers.js"
import type {
	ClaimCall,
	MintedTicket,
	Send,
	SendResult,
	SetTimer
} from "./types.js"

export interface TicketTaskOptions {
	owner: ClaimOwner
	now: () => number
	setTimer: SetTimer
	lifeMs: number
	retentionMs: number
	maxAnswerChars: number
}

interface Attempt {
	send: Send
	resolve: (result: LogResult) => void
	cancelTimer: () => void
}

const secretBytes = 32
const nonceBytes = 16
const sweepMs = 60_000

export class TicketTask {
	private readonly secret = randomBytes(secretBytes)
	private readonly ledger: TicketLedger
	private readonly attempts = new Map<number, Attempt>()
	private callsMade = 0
	private sweepAt = -Infinity

	constructor(private readonly options: TicketTaskOptions) {
		const {owner, retentionMs, maxAnswerChars} = options
		const {hostId, incarnation} = owner
		this.ledger = new TicketLedger({
			hostId,
			incarnation,
			retentionMs,
			maxAnswerChars
		})
	}

	/** Number of used tickets that are remembered. */
	get size(): number {
		return this.ledger.size
	}

	mint(scope: KeyScope): MintedTicket {
		const {owner, now, lifeMs} = this.options
		const {hostId, incarnation} = owner
		const expiresAt = Math.floor(now()) + lifeMs
		const nonce = randomBytes(nonceBytes).toString("base64url")
		const claims = {hostId, incarnation, expiresAt, nonce}
		const code = this.sign(claims, scope).toString("base64url")
		return {ticket: formatTicket({...claims, code}), expiresAt}
	}

	run(call: ClaimCall, send: Send): Promise<LogResult> {
		this.callsMade += 1
		const id = this.callsMade
		const {scope, key, bodyHash, deadline} = call
		const ticket = parseTicket(key)
		const isAuthentic = ticket !== undefined && this.isSigned(ticket, scope)
		const {now, setTimer} = this.options
		this.sweep()
		return new Promise(resolve => {
			const cancelTimer = setTimer(() => {
				this.carryOut(this.ledger.expire(now()))
			}, deadline)
			this.attempts.set(id, {send, resolve, cancelTimer})
			const ticketCall = {id, ticket, isAuthentic, bodyHash, deadline}
			this.carryOut(this.ledger.addCall(ticketCall, now()))
		})
	}

	private sign(claims: TicketClaims, scope: KeyScope): Buffer {
		const hmac = createHmac("sha256", this.secret)
		return hmac.update(signedText(claims, scope)).digest()
	}

	private isSigned(ticket: ParsedTicket, scope: KeyScope): boolean {
		const given = Buffer.from(ticket.code, "base64url")
		const expected = this.sign(ticket, scope)
		if (given.length !== expected.length) return false
		return timingSafeEqual(given, expected)
	}

	private sweep(): void {
		const now = this.options.now()
		if (now < this.sweepAt) return
		this.sweepAt = now + sweepMs
		this.carryOut(this.ledger.expire(now))
	}

	private carryOut(actions: readonly TicketAction[]): void {
		for (const action of actions) {
			if (action.type === TicketActionType.Send) {
				void this.send(action.nonce, action.callId)
			} else {
				this.end(action.callId, action.result)
			}
		}
	}

	private async send(nonce: string, callId: number): Promise<void> {
		const outcome = toSendOutcome(await this.sendOnce(callId))
		this.carryOut(this.ledger.endCall(nonce, outcome))
	}

	private async sendOnce(callId: number): Promise<SendResult> {
		const attempt = this.attempts.get(callId)
		if (attempt === undefined) {
			const detail = "the attempt ended before it was sent"
			return {end: SendEnd.NotStarted, detail, retryAfterMs: 0}
		}
		try {
			return await attempt.send()
		} catch (err) {
			return {end: SendEnd.Unknown, step: Step.Send, detail: messageOf(err)}
		}
	}

	private end(callId: number, result: LogResult): void {
		const attempt = this.attempts.get(callId)
		this.attempts.delete(callId)
		attempt?.cancelTimer()
		attempt?.resolve(result)
	}
}
