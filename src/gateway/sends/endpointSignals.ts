/** Applies what an endpoint states about itself in the head of a response. */
import {create} from "@bufbuild/protobuf"
import type {FleetEndpoint} from "../../contract/fleet.js"
import {LeavingNoticeSchema} from "../../contract/gen/grants_pb.js"
import {createLimitNotice, type Notice} from "../../notices/index.js"
import {maxPauseMs} from "../../policy/dispatch/index.js"
import type {GatewayContext} from "../gatewayContext.js"
import {EndpointSignal} from "../gatewayMetrics.js"
import type {ResponseHead} from "../wire.js"

export interface SignalSource {
	/** The endpoint that answers, whichever registration it was chosen by. */
	endpoint: Pick<FleetEndpoint, "id" | "bornAt">
	requestId: string
	/** Time at which the request was sent. */
	sentAt: number
}

export function applySignals(
	ctx: GatewayContext,
	source: SignalSource,
	head: ResponseHead
): void {
	const {id, bornAt} = source.endpoint
	// Another endpoint has the address; its statements are not about this one.
	if (head.isMisdirected) return
	// A stated pace means that engines differ, so that what requests cost matters.
	if (head.load?.pace !== undefined) ctx.forecast.enable()
	if (head.isLeaving) applyLeaving(ctx, id, bornAt)
	applyPause(ctx, source, head)
	applyLimit(ctx, source, head)
}

function applyLeaving(ctx: GatewayContext, id: string, bornAt: number): void {
	const value = create(LeavingNoticeSchema, {endpointId: id, bornAt})
	const notice: Notice = {case: "leaving", value}
	for (const news of ctx.notices.merge(notice, ctx.now(), "answer")) {
		ctx.metrics.countSignal(EndpointSignal.Leaving)
		ctx.links.announce(news)
	}
}

function applyPause(
	ctx: GatewayContext,
	{endpoint: {id}, requestId}: SignalSource,
	{pauseMs}: ResponseHead
): void {
	if (pauseMs === undefined) return
	const now = ctx.now()
	if (!(pauseMs > 0)) {
		ctx.metrics.countSignal(EndpointSignal.UnusablePause)
		ctx.log.request("pause.unusable", requestId, {endpoint: id})
		return
	}
	ctx.pauses.pause(id, now + pauseMs, now)
	ctx.metrics.countSignal(EndpointSignal.Pause)
	ctx.log.request("endpoint.paused", requestId, {
		endpoint: id,
		pauseMs: Math.round(Math.min(pauseMs, maxPauseMs)),
		isCut: pauseMs > maxPauseMs
	})
}

function applyLimit(
	ctx: GatewayContext,
	{endpoint: {id, bornAt}, requestId, sentAt}: SignalSource,
	{requestsPerSecond: perSecond, isOurs, isSigned}: ResponseHead
): void {
	if (Number.isNaN(perSecond)) {
		ctx.metrics.countSignal(EndpointSignal.UnusableLimit)
		ctx.log.request("limit.unusable", requestId, {endpoint: id})
		return
	}
	// A spoilt answer that states no limit doesn't end one.
	if (perSecond === undefined && !(isOurs && isSigned)) return
	const statement = {id, bornAt, perSecond, sentAt}
	const wasLimited = ctx.limits.get(id, bornAt) !== undefined
	if (!ctx.limits.addAnswer(statement, ctx.now())) return
	ctx.metrics.countSignal(EndpointSignal.Limit)
	ctx.log.request("endpoint.limit", requestId, {endpoint: id, perSecond})
	// The endpoint's own agent keeps to the rate; others need only hear that there is
	// a limit.
	const isForOwnOnly = wasLimited === (perSecond !== undefined)
	const stated = ctx.limits.get(id, bornAt)
	const value = createLimitNotice(id, bornAt, stated, ctx.now())
	ctx.links.announce({case: "limit", value}, {isForOwnOnly})
}
