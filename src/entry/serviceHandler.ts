/** Handles callers' calls to plain services and their requests for tickets. */
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
import {CallerHandler, createCloseSignal} from "./callerHandler.js"
import type {EndpointLink} from "./endpointLink.js"
import {notRunOutcome, sendFailure} from "./outcome.js"
import {
	checkRouteRules,
	type Envelope,
	parseEnvelope,
	readBody
} from "./parseRequest.js"
import {ServiceCall, type ServiceResult} from "./serviceCall.js"

/** A running call whose answer identical calls can share. */
interface SharedCall {
	deadline: number
	result: Promise<ServiceResult>
}

const ok = 200
const notFound = 404

export class ServiceHandler extends CallerHandler {
	private readonly sharedCalls = new Map<string, SharedCall>()

	async handleService(
		req: IncomingMessage,
		res: ServerResponse,
		path: string
	): Promise<void> {
		const arrivedAt = Date.now()
		const member = this.identifyCaller(req)
		const envelope = parseEnvelope(req.headers, member, arrivedAt)
		const body = await readBody(req)
		if (this.refuseIfUnconfigured(res, envelope.requestId)) return
		const method = req.method ?? "GET"
		const [pathWithoutQuery = path] = path.split("?")
		const route = this.routes.findService(method, pathWithoutQuery)
		checkRouteRules(route, envelope, arrivedAt)
		const runReq = this.createServiceRequest(route, envelope, path, body)
		runReq.contentType = req.headers["content-type"] ?? ""
		await this.runService(route, runReq, res, arrivedAt)
	}

	/**
	 * Gets a ticket from a random endpoint process of the route's pool. A call
	 * with a ticket runs even during an outage of the platform.
	 */
	async handleTicket(
		req: IncomingMessage,
		res: ServerResponse,
		routeName: unknown
	): Promise<void> {
		const member = this.identifyCaller(req)
		if (this.refuseIfUnconfigured(res, "")) return
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
		const admitting = fleet.listAdmittingHosts(route.pool)
		const hostId = admitting[Math.floor(Math.random() * admitting.length)]
		const link = hostId === undefined ? undefined : fleet.getLink(hostId)
		if (link === undefined) {
			const detail = `no endpoint of pool ${route.pool} takes work`
			const outcome = notRunOutcome(NotRunReason.UNREACHABLE, detail)
			sendFailure(res, outcome, "")
			return
		}
		const ticket = await this.requestTicket(link, member, route)
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

	/**
	 * Resolves to undefined when the host did not answer. A ticket that is minted
	 * but not received leaves no state there.
	 */
	private async requestTicket(
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

	private createServiceRequest(
		route: Route,
		envelope: Envelope,
		path: string,
		body: Uint8Array
	): RunRequest {
		const req = this.createRunRequest(route, envelope)
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
		const result = await this.callOrCoalesce(route, runReq, res)
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

	/**
	 * Coalesces identical reads of one Member: a read shares the answer of a
	 * running one if that one's deadline is no later than its own. Otherwise it
	 * makes its own call, which later reads can share.
	 */
	private async callOrCoalesce(
		route: Route,
		runReq: RunRequest,
		res: ServerResponse
	): Promise<ServiceResult> {
		const key = route.coalesce ? createCoalescingKey(route, runReq) : undefined
		if (key === undefined) {
			return this.call(route, runReq, createCloseSignal(res))
		}
		const deadline = runReq.deadlineMs
		const running = this.sharedCalls.get(key)
		if (running !== undefined && running.deadline <= deadline) {
			this.options.counters.add("coalesced")
			return running.result
		}
		// Never aborted: other callers may wait for the shared call.
		const result = this.call(route, runReq, new AbortController().signal)
		const shared = {deadline, result}
		this.sharedCalls.set(key, shared)
		try {
			return await result
		} finally {
			if (this.sharedCalls.get(key) === shared) this.sharedCalls.delete(key)
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

function createCoalescingKey(
	route: Route,
	req: RunRequest
): string | undefined {
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
