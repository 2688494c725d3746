/** Handles calls to plain services, and the tickets for them. */
import type {IncomingMessage, ServerResponse} from "node:http"
import type {Route} from "../contract/config/index.js"
import {BadRequestError} from "../contract/errors.js"
import {
	type Answer,
	NotRunReason,
	type RunRequest,
	type Ticket
} from "../contract/gen/link_pb.js"
import {getCoalescingKey} from "../policy/index.js"
import {parseTicket} from "../policy/tickets.js"
import {sendJson} from "../program/health.js"
import {CallerHandler, signalOfClose} from "./callerHandler.js"
import type {EndpointLink} from "./endpointLink.js"
import {notRunOutcome, sendFailure} from "./outcome.js"
import {
	checkRouteRules,
	type Envelope,
	parseEnvelope,
	readBody
} from "./parseRequest.js"
import {ServiceCall, type ServiceResult} from "./serviceCall.js"

/** A call whose answer others may share. */
interface SharedCall {
	deadline: number
	result: Promise<ServiceResult>
}

const ok = 200
const notFound = 404

export class ServiceHandler extends CallerHandler {
	private readonly shared = new Map<string, SharedCall>()

	async handleService(
		req: IncomingMessage,
		res: ServerResponse,
		path: string
	): Promise<void> {
		const arrivedAt = Date.now()
		const member = this.identify(req)
		const envelope = parseEnvelope(req.headers, member, arrivedAt)
		const body = await readBody(req)
		if (this.refuseUnready(res, envelope.requestId)) return
		const method = req.method ?? "GET"
		const [plainPath = path] = path.split("?")
		const route = this.routes.findService(method, plainPath)
		checkRouteRules(route, envelope, arrivedAt)
		const runReq = this.createServiceCall(route, envelope, path, body)
		runReq.contentType = req.headers["content-type"] ?? ""
		await this.runService(route, runReq, res, arrivedAt)
	}

	/** Asks an endpoint process for a ticket, for calls during an outage. */
	async handleTicket(
		req: IncomingMessage,
		res: ServerResponse,
		routeName: unknown
	): Promise<void> {
		const member = this.identify(req)
		if (this.refuseUnready(res, "")) return
		const root = this.options.store.requireRoot()
		const route = root.settings.routes.find(({name}) => name === routeName)
		if (route === undefined || route.idempotent) {
			throw new BadRequestError(
				"route",
				"expected the name of a route that is not idempotent",
				notFound
			)
		}
		const {fleet} = this.options
		const admitting = fleet.admitting(route.pool)
		const hostId = admitting[Math.floor(Math.random() * admitting.length)]
		const link = hostId === undefined ? undefined : fleet.link(hostId)
		if (link === undefined) {
			const detail = `no endpoint of pool ${route.pool} takes work`
			const outcome = notRunOutcome(NotRunReason.UNREACHABLE, detail)
			sendFailure(res, outcome, "")
			return
		}
		const ticket = await this.mintTicket(link, member, route)
		if (ticket === undefined) {
			const detail = `host ${link.hostId} did not answer`
			const outcome = notRunOutcome(NotRunReason.UNREACHABLE, detail)
			sendFailure(res, outcome, "")
			return
		}
		if (ticket.refused !== undefined) {
			const {reason, detail, retryAfterMs} = ticket.refused
			sendFailure(res, notRunOutcome(reason, detail, retryAfterMs), "")
			return
		}
		sendJson(res, ok, {
			ticket: ticket.ticket,
			expires_at: new Date(ticket.expiresMs).toISOString()
		})
	}

	/** Undefined when the host did not answer; minting has no effect there. */
	private async mintTicket(
		link: EndpointLink,
		member: string,
		route: Route
	): Promise<Ticket | undefined> {
		try {
			return await link.client.ticket({member, route: route.name})
		} catch {
			return undefined
		}
	}

	private createServiceCall(
		route: Route,
		envelope: Envelope,
		path: string,
		body: Uint8Array
	): RunRequest {
		const req = this.createRequest(route, envelope)
		req.method = route.method
		req.path = path
		req.body = body
		req.idempotencyKey = envelope.idempotencyKey
		req.firstAttempt = envelope.isFirstAttempt
		return req
	}

	private async runService(
		route: Route,
		runReq: RunRequest,
		res: ServerResponse,
		arrivedAt: number
	): Promise<void> {
		this.options.counters.add("requests.service")
		const result = await this.callOrJoin(route, runReq, res)
		const failed = "failed" in result ? result.failed : undefined
		if ("answer" in result) sendAnswer(res, result.answer, runReq.requestId)
		else sendFailure(res, result.failed, runReq.requestId)
		this.options.burn.record({
			route: route.name,
			member: runReq.member,
			arrivedAt,
			failed,
			loadStallMs: 0
		})
	}

	/** Identical reads of one Member that run at the same time share a call. */
	private async callOrJoin(
		route: Route,
		runReq: RunRequest,
		res: ServerResponse
	): Promise<ServiceResult> {
		const key = route.coalesce ? coalescingKeyOf(route, runReq) : undefined
		if (key === undefined) {
			return this.call(route, runReq, signalOfClose(res))
		}
		const deadline = runReq.deadlineMs
		const running = this.shared.get(key)
		if (running !== undefined && running.deadline <= deadline) {
			this.options.counters.add("coalesced")
			return running.result
		}
		// Others may wait for a shared call, so one caller can't cancel it.
		const result = this.call(route, runReq, new AbortController().signal)
		const shared = {deadline, result}
		this.shared.set(key, shared)
		try {
			return await result
		} finally {
			if (this.shared.get(key) === shared) this.shared.delete(key)
		}
	}

	private call(
		route: Route,
		req: RunRequest,
		signal: AbortSignal
	): Promise<ServiceResult> {
		const {fleet, router, counters, failureDomain} = this.options
		const budget = this.options.budget()
		const ticketHost = parseTicket(req.idempotencyKey)?.hostId ?? ""
		req.ticket = ticketHost !== ""
		const call = new ServiceCall({
			route,
			req,
			failureDomain,
			ticketHost,
			fleet,
			router,
			budget,
			counters,
			signal
		})
		return call.run()
	}
}

function coalescingKeyOf(route: Route, req: RunRequest): string | undefined {
	return getCoalescingKey({
		member: req.member,
		route: route.name,
		method: req.method,
		path: req.path,
		bodyLength: req.body.length
	})
}

function sendAnswer(
	res: ServerResponse,
	answer: Answer,
	requestId: string
): void {
	const headers: Record<string, string> = {"x-request-id": requestId}
	if (answer.contentType !== "") headers["content-type"] = answer.contentType
	if (answer.replayed) headers["x-replayed"] = "true"
	res.writeHead(answer.status, headers)
	res.end(answer.body)
}
