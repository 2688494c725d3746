/** Applies what an endpoint states about itself in the head of a response. */
import type {FleetEndpoint} from "../contract/fleet.js"
import {maxPauseMs} from "../policy/dispatch/index.js"
import type {GatewayContext} from "./gatewayContext.js"
import {EndpointSignal} from "./gatewayMetrics.js"
import type {ResponseHead} from "./wire.js"

export function applySignals(
	ctx: GatewayContext,
	{id, bornAt}: FleetEndpoint,
	head: ResponseHead,
	requestId: string
): void {
	// Another endpoint has the address; its statements are not about this one.
	if (head.isMisdirected) return
	if (head.isLeaving && ctx.fleet.markLeaving(id, bornAt, "answer")) {
		ctx.metrics.countSignal(EndpointSignal.Leaving)
		ctx.links.announceLeaving(id, bornAt)
	}
	const {pauseMs} = head
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
