/**
 * Gives gateways permits for requests to plain endpoints that state limits. For each
 * pool one agent of the fleet does so, the one that holds the pool's lease; the
 * others name it to gateways that ask them.
 */
import {create} from "@bufbuild/protobuf"
import {
	type LimitNotice,
	type PermitAnswer,
	PermitAnswerSchema,
	type PermitAsk
} from "../contract/gen/grants_pb.js"
import {PermitIssuer, type StatedLimits} from "../policy/limits/index.js"
import {LeaseDesk, type LeaseDeskOptions, type NotHeld} from "./leaseDesk.js"

export interface PermitDeskOptions extends LeaseDeskOptions {
	/** Limits of endpoints, as gateways heard them. */
	limits: StatedLimits
	/** Answers a gateway; `to` is the connection that asked. */
	reply: (to: string, answer: PermitAnswer) => void
}

const times = {
	ttlMs: 2000,
	marginMs: 500,
	renewMs: 700,
	rereadMs: 300,
	idleReleaseMs: 10_000
}

export class PermitDesk extends LeaseDesk<PermitAsk, PermitIssuer> {
	constructor(private readonly deskOptions: PermitDeskOptions) {
		super(deskOptions, times, {event: "permits", field: "pool"})
	}

	handleAsk(to: string, ask: PermitAsk): void {
		this.receiveAsk(ask.pool, to, ask)
	}

	/** What the holder before has permitted is not known: the pace begins anew. */
	protected override createState(): PermitIssuer {
		return new PermitIssuer()
	}

	protected override answerHeld(
		to: string,
		ask: PermitAsk,
		issuer: PermitIssuer
	): void {
		this.deskOptions.reply(to, this.issue(issuer, ask))
	}

	protected override answerNotHeld(
		to: string,
		{key}: PermitAsk,
		{holderId, retryAfterMs}: NotHeld
	): void {
		const answer = {key, holderId, retryAfterMs}
		this.deskOptions.reply(to, create(PermitAnswerSchema, answer))
	}

	private issue(issuer: PermitIssuer, ask: PermitAsk): PermitAnswer {
		const now = this.options.now()
		const {key, limits, maxWaitMs, deadlineLeftMs} = ask
		const candidates = limits.map(limit => this.toCandidate(limit, now))
		const deadline = now + deadlineLeftMs
		const permit = issuer.issue({candidates, maxWaitMs, deadline}, now)
		if ("retryAfterMs" in permit) {
			const retryAfterMs = Math.round(permit.retryAfterMs)
			return create(PermitAnswerSchema, {key, retryAfterMs})
		}
		const {endpointId} = permit
		const waitMs = Math.round(permit.waitMs)
		return create(PermitAnswerSchema, {key, endpointId, waitMs})
	}

	/** The endpoint with the limit that any gateway heard last. */
	private toCandidate(
		{endpointId: id, bornAt, perSecond, ageMs}: LimitNotice,
		now: number
	): {id: string; bornAt: number; perSecond: number | undefined} {
		const {limits} = this.deskOptions
		limits.apply(id, {bornAt, perSecond, statedAt: now - ageMs})
		return {id, bornAt, perSecond: limits.get(id, bornAt)?.perSecond}
	}
}
