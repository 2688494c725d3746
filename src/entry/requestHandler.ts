/** Handles the requests of callers: generations, streams and service calls. */
import {create} from "@bufbuild/protobuf"
import type {IncomingMessage, ServerResponse} from "node:http"
import murmurhash from "murmurhash"
import type {ConfigRoot, Route} from "../contract/config/index.js"
import {BadRequestError} from "../contract/errors.js"
import {
	type Answer,
	NotRunReason,
	RequestClass as LinkClass,
	type RunRequest,
	RunRequestSchema
} from "../contract/gen/link_pb.js"
import {engineAdapterName} from "../contract/names.js"
import {
	getCoalescingKey,
	RequestClass,
	type RetryBudget,
	type Router
} from "../policy/index.js"
import {parseTicket} from "../policy/tickets.js"
import type {Counters} from "../program/counters.js"
import {sendJson} from "../program/health.js"
import type {ConfigStore} from "../spread/index.js"
import type {BurnTask} from "./burnTask.js"
import {StreamWriter, streamSeparator, WholeWriter} from "./completionWriter.js"
import type {Fleet} from "./fleet.js"
import {GenerationCall} from "./generationCall.js"
import {identifyMember} from "./identity.js"
import {notRunOutcome, sendFailure} from "./outcome.js"
import {
	checkRouteRules,
	type CompletionBody,
	type Envelope,
	parseChat,
	parseCompletion,
	parseEnvelope,
	parseOffset,
	readBody
} from "./parseRequest.js"
import {RouteTable} from "./routeTable.js"
import {ServiceCall, type ServiceResult} from "./serviceCall.js"

export interface RequestHandlerOptions {
	entryId: string
	failureDomain: string
	memberSecret: string
	store: ConfigStore
	fleet: Fleet
	router: Router
	budget: () => RetryBudget
	counters: Counters
	burn: BurnTask
}

const ok = 200
const notFound = 404
const prefixLength = 64
const notReadyRetryMs = 1000

const linkClasses: Record<RequestClass, LinkClass> = {
	[RequestClass.Status]: LinkClass.STATUS,
	[RequestClass.Booking]: LinkClass.BOOKING,
	[RequestClass.Interactive]: LinkClass.INTERACTIVE,
	[RequestClass.Deferrable]: LinkClass.DEFERRABLE
}

export class RequestHandler {
	private readonly options: RequestHandlerOptions
	private readonly shared = new Map<string, Promise<ServiceResult>>()
	private table: RouteTable | undefined

	constructor(options: RequestHandlerOptions) {
		this.options = options
		options.store.onInstall(root => {
			this.configure(root)
		})
	}

	async handleCompletion(
		req: IncomingMessage,
		res: ServerResponse,
		isChat: boolean
	): Promise<void> {
		const arrivedAt = Date.now()
		const member = this.identify(req)
		const envelope = parseEnvelope(req.headers, member, arrivedAt)
		const bytes = await readBody(req)
		const body = isChat ? parseChat(bytes) : parseCompletion(bytes)
		if (this.refuseUnready(res, envelope.requestId)) return
		const route = this.routes.findGeneration(envelope.routeName)
		checkRouteRules(route, envelope, arrivedAt)
		const runReq = this.createGeneration(route, envelope, body)
		await this.runGeneration({route, runReq, body, res, arrivedAt})
	}

	/** Continues a stream that another entry or connection began. */
	async handleResume(
		req: IncomingMessage,
		res: ServerResponse,
		streamId: string,
		offsetText: unknown
	): Promise<void> {
		const now = Date.now()
		const member = this.identify(req)
		const envelope = parseEnvelope(req.headers, member, now)
		const offset = parseOffset(offsetText)
		const [hostId = "", requestId = ""] = streamId.split(streamSeparator)
		const link = this.options.fleet.link(hostId)
		const model = req.headers["x-model"]
		if (typeof model !== "string") {
			throw new BadRequestError("x-model", "expected base:adapter@version")
		}
		if (link === undefined) {
			const detail = `host ${hostId} of this stream is not known here`
			const outcome = notRunOutcome(NotRunReason.UNREACHABLE, detail)
			sendFailure(res, outcome, requestId)
			return
		}
		if (this.refuseUnready(res, envelope.requestId)) return
		const route = this.routes.findGeneration(envelope.routeName)
		const body: CompletionBody = {
			model,
			prompt: "",
			maxTokens: 1,
			isStream: true,
			isChat: false
		}
		const runReq = this.createGeneration(route, envelope, body)
		runReq.requestId = requestId
		runReq.resume = true
		runReq.resumeOffset = offset
		await this.runGeneration({
			route: {...route, pool: route.pool, maxAttempts: 1},
			runReq,
			body,
			res,
			arrivedAt: now,
			hostId
		})
	}

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
		const ticket = await link.client.ticket({member, route: route.name})
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

	private get routes(): RouteTable {
		if (this.table !== undefined) return this.table
		throw new TypeError("the route table is used before a configuration")
	}

	private configure(root: ConfigRoot): void {
		this.table = new RouteTable(root.settings)
	}

	private identify(req: IncomingMessage): string {
		return identifyMember(req.headers, this.options.memberSecret)
	}

	private refuseUnready(res: ServerResponse, requestId: string): boolean {
		if (this.table !== undefined) return false
		const detail = "this entry holds no configuration yet"
		const {NOT_CONFIGURED} = NotRunReason
		const outcome = notRunOutcome(NOT_CONFIGURED, detail, notReadyRetryMs)
		sendFailure(res, outcome, requestId)
		return true
	}

	private createGeneration(
		route: Route,
		envelope: Envelope,
		body: CompletionBody
	): RunRequest {
		const resolved = this.options.store.findAdapter(body.model)
		if (resolved === undefined) {
			const reason = `adapter ${JSON.stringify(body.model)} is not configured`
			throw new BadRequestError("model", reason, notFound)
		}
		const req = this.createRequest(route, envelope)
		req.adapter = body.model
		req.adapterSource = resolved.source
		req.prompt = body.prompt
		req.maxTokens = body.maxTokens
		return req
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

	private createRequest(route: Route, envelope: Envelope): RunRequest {
		return create(RunRequestSchema, {
			requestId: envelope.requestId,
			member: envelope.member,
			route: route.name,
			class: linkClasses[route.class],
			deadlineMs: envelope.deadline,
			generation: this.options.store.generation,
			idempotent: route.idempotent,
			entryId: this.options.entryId
		})
	}

	private async runGeneration(call: {
		route: Route
		runReq: RunRequest
		body: CompletionBody
		res: ServerResponse
		arrivedAt: number
		hostId?: string
	}): Promise<void> {
		const {route, runReq, body, res, arrivedAt, hostId} = call
		const {fleet, router, counters, failureDomain} = this.options
		const budget = this.options.budget()
		const {requestId} = runReq
		const {model, isChat} = body
		const writerOptions = {res, requestId, model, isChat}
		const writer = body.isStream
			? new StreamWriter(writerOptions)
			: new WholeWriter(writerOptions)
		const adapter = engineAdapterName(model, runReq.adapterSource)
		const generation = new GenerationCall({
			route,
			req: runReq,
			adapter,
			query: {
				adapter,
				class: route.class,
				member: runReq.member,
				deadline: runReq.deadlineMs,
				prefixHash: murmurhash.v3(runReq.prompt.slice(0, prefixLength)),
				failureDomain
			},
			fleet,
			router,
			budget,
			counters,
			sink: writer,
			signal: signalOfClose(res),
			...(hostId === undefined ? {} : {hostId})
		})
		counters.add("requests.generation")
		const failed = await generation.run()
		if (failed !== undefined) writer.fail(failed)
		this.options.burn.record({
			route: route.name,
			member: runReq.member,
			arrivedAt,
			failed,
			loadStallMs: writer.loadStallMs
		})
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
		const running = this.shared.get(key)
		if (running !== undefined) {
			this.options.counters.add("coalesced")
			return running
		}
		// Others may wait for a shared call, so one caller can't cancel it.
		const call = this.call(route, runReq, new AbortController().signal)
		this.shared.set(key, call)
		try {
			return await call
		} finally {
			this.shared.delete(key)
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

/** Aborted when the caller's connection closes before the answer is sent. */
function signalOfClose(res: ServerResponse): AbortSignal {
	const controller = new AbortController()
	res.on("close", () => {
		if (!res.writableEnded) controller.abort()
	})
	return controller.signal
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
