/**
 * Mints tickets and runs the calls that use them as their key. The signing
 * secret and the record of used tickets exist only in the memory of this
 * process: after a restart, the outcome of a call with an old ticket is
 * unknown.
 */
import {createHmac, randomBytes, timingSafeEqual} from "node:crypto"
import type {KeyScope} from "../../policy/claimHome.js"
import type {ClaimOwner} from "../../policy/claimLog.js"
import type {StoredCallResult} from "../../policy/claimTypes.js"
import {
	formatTicket,
	type ParsedTicket,
	parseTicket,
	formatSignedText,
	type TicketAction,
	TicketActionType,
	type TicketPayload,
	TicketLedger
} from "../../policy/tickets.js"
import {PendingAttempts} from "./attempts.js"
import type {ClaimCall, MintedTicket, Send, SetTimer} from "./types.js"

export interface TicketTaskOptions {
	owner: ClaimOwner
	now: () => number
	setTimer: SetTimer
	/** Time after minting in which a ticket can be used, in milliseconds. */
	lifeMs: number
	retentionMs: number
	maxAnswerChars: number
}

const secretBytes = 32
const nonceBytes = 16
const sweepIntervalMs = 60_000

export class TicketTask {
	private readonly secret = randomBytes(secretBytes)
	private readonly ledger: TicketLedger
	private readonly attempts = new PendingAttempts()
	private nextSweepAt = -Infinity

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

	/** Number of used tickets in memory. */
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

	async run(call: ClaimCall, send: Send): Promise<StoredCallResult> {
		const {scope, key, bodyHash, deadline} = call
		const {now, setTimer} = this.options
		const ticket = parseTicket(key)
		const isAuthentic = ticket !== undefined && this.isSigned(ticket, scope)
		this.sweepExpired()
		const cancelTimer = setTimer(() => {
			this.execute(this.ledger.expire(now()))
		}, deadline)
		const result = await this.attempts.begin(send, id => {
			const ticketCall = {id, ticket, isAuthentic, bodyHash, deadline}
			this.execute(this.ledger.addCall(ticketCall, now()))
		})
		cancelTimer()
		return result
	}

	private sign(claims: TicketPayload, scope: KeyScope): Buffer {
		const hmac = createHmac("sha256", this.secret)
		return hmac.update(formatSignedText(claims, scope)).digest()
	}

	private isSigned(ticket: ParsedTicket, scope: KeyScope): boolean {
		const given = Buffer.from(ticket.code, "base64url")
		const expected = this.sign(ticket, scope)
		if (given.length !== expected.length) return false
		return timingSafeEqual(given, expected)
	}

	private sweepExpired(): void {
		const now = this.options.now()
		if (now < this.nextSweepAt) return
		this.nextSweepAt = now + sweepIntervalMs
		this.execute(this.ledger.expire(now))
	}

	private execute(actions: readonly TicketAction[]): void {
		for (const action of actions) {
			if (action.type === TicketActionType.Send) {
				void this.send(action.nonce, action.callId)
			} else {
				this.attempts.end(action.callId, action.result)
			}
		}
	}

	private async send(nonce: string, callId: number): Promise<void> {
		const outcome = await this.attempts.send(callId)
		this.execute(this.ledger.endCall(nonce, outcome))
	}
}
