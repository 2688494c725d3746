/**
 * Gives gateways shares of Members' quotas for their requests. For each part of the
 * quotas one agent of the fleet does so, the one that holds the part's lease; the
 * others name it to gateways that ask them.
 */
import {create} from "@bufbuild/protobuf"
import {
	type QuotaAnswer,
	QuotaAnswerSchema,
	type QuotaAsk,
	QuotaResult,
	type QuotaUse
} from "../contract/gen/grants_pb.js"
import type {PermitLease} from "../policy/limits/index.js"
import {
	amountValidMs,
	getPartName,
	type QuotaBounds,
	QuotaPart,
	type TakeQuery,
	type TakeResult
} from "../policy/quotas/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {LeaseDesk, type LeaseDeskOptions, type NotHeld} from "./leaseDesk.js"

export interface QuotaDeskOptions extends LeaseDeskOptions {
	bounds: QuotaBounds
	log: Pick<DecisionLog, "decide" | "request">
	/** Answers a gateway; `to` is the connection that asked. */
	reply: (to: string, answer: QuotaAnswer) => void
}

const times = {
	// Keyed requests end that long after the loss of the store anyway.
	ttlMs: 5000,
	marginMs: 500,
	renewMs: 1500,
	rereadMs: 300,
	// A later holder starts with full buckets, so this is longer than the window.
	idleReleaseMs: 60_000
}

/** Bounds the waits that are stated. */
const maxWaitMs = 30_000

export class QuotaDesk extends LeaseDesk<QuotaAsk, QuotaPart> {
	constructor(private readonly deskOptions: QuotaDeskOptions) {
		super(deskOptions, times, {event: "quotas", field: "part"})
	}

	handleAsk(to: string, ask: QuotaAsk): void {
		this.receiveAsk(getPartName(ask.part), to, ask)
	}

	/** Applies what became of amounts, whichever part they were taken from. */
	handleUse({sent, returned}: QuotaUse): void {
		const now = this.options.now()
		for (const part of this.listHeld()) {
			for (const {key, ageMs} of sent) part.markSent(key, ageMs, now)
			for (const key of returned) part.giveBack(key, now)
		}
	}

	protected override createState(
		_name: string,
		{heldSince, hasPredecessor}: PermitLease
	): QuotaPart {
		const {bounds} = this.deskOptions
		return new QuotaPart({bounds, heldSince, hasPredecessor})
	}

	protected override answerHeld(
		to: string,
		ask: QuotaAsk,
		part: QuotaPart
	): void {
		const {key, member} = ask
		const {reply} = this.deskOptions
		if (member === "") {
			reply(to, create(QuotaAnswerSchema, {key, result: QuotaResult.TAKEN}))
			return
		}
		const now = this.options.now()
		const taken = part.take(decodeAsk(ask, now), now)
		this.logResult(ask, taken)
		const {refusal, usePercent} = taken
		const result =
			refusal === undefined
				? {result: QuotaResult.TAKEN, validMs: amountValidMs}
				: {
						result: QuotaResult.OVER,
						waitMs: Math.ceil(Math.min(maxWaitMs, refusal.waitMs)),
						retryAfterMs: Math.ceil(refusal.retryAfterMs)
					}
		reply(to, create(QuotaAnswerSchema, {key, usePercent, ...result}))
	}

	protected override answerNotHeld(
		to: string,
		{key}: QuotaAsk,
		{holderId, retryAfterMs}: NotHeld
	): void {
		const answer = {
			key,
			result: QuotaResult.NOT_HELD,
			holderId,
			retryAfterMs
		}
		this.deskOptions.reply(to, create(QuotaAnswerSchema, answer))
	}

	/** Gateways log each request; the holder logs refusals and changes. */
	private logResult(
		{requestId, member, part, tokens, version}: QuotaAsk,
		{refusal, usePercent, hasChanged, fields}: TakeResult
	): void {
		if (!hasChanged && refusal === undefined) return
		const event = refusal === undefined ? "quota.within" : "quota.over"
		this.deskOptions.log.request(event, requestId, {
			member,
			part,
			tokens,
			...fields,
			usePercent,
			version,
			retryAfterMs: refusal && Math.ceil(refusal.retryAfterMs)
		})
	}
}

function decodeAsk(ask: QuotaAsk, now: number): TakeQuery {
	const {key, member, tokens, isRenewal, isLast} = ask
	const {version, perSecond, burst, countsRequests} = ask
	return {
		key,
		member,
		terms: {version, perSecond, burst, countsRequests},
		tokens,
		deadline: now + ask.deadlineLeftMs,
		isRenewal,
		isLast,
		otherWaitMs: ask.otherWaitMs ?? Number.POSITIVE_INFINITY
	}
}
