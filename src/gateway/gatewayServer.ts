/**
 * The HTTP server for callers. Reads each request completely before anything of
 * it is forwarded, finds its route and starts a task that serves it.
 */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse
} from "node:http"
import type {Socket} from "node:net"
import {
	type ForwardRoute,
	type Member,
	type PoolShare,
	RouteKind
} from "../contract/fleet.js"
import {bindWhenFree} from "../program/bindWhenFree.js"
import {CallerConnections, callIfIdle} from "../program/callerConnections.js"
import {sleep} from "../utils/common.js"
import {listenAt} from "../utils/listenAt.js"
import {CallerExchange, CloseReason, leaving} from "./callers/callerExchange.js"
import {readBody} from "./callers/readBody.js"
import {DeadlineSource, type GatewayContext} from "./gatewayContext.js"
import {GenerationTask} from "./sends/generationTask.js"
import {respondDenial} from "./identity/index.js"
import {ServiceTask} from "./sends/serviceTask.js"
import {RejectedRequestError, type RequestHead} from "./wire.js"

export interface GatewayServerOptions {
	/** `ip:port` at which callers' requests are accepted. */
	address: string
	ctx: GatewayContext
	/** Time from SIGTERM until the process is killed, milliseconds. */
	graceMs: number
	/**
	 * Time between two checks for requests whose headers are late, milliseconds; the
	 * default of Node.js if absent.
	 */
	headerCheckMs?: number | undefined
}

/**
 * Larger than the configured limit on headers, so that the parser accepts an
 * oversized request and the gateway can respond to it.
 */
const parserMaxHeaderBytes = 65_536
/** Retry delay for requests refused for lack of a current configuration or a pool. */
const unconfiguredRetryAfterMs = 500
/** Time within which the load balancer notices that the readiness probe fails. */
const balancerNoticeMs = 2500
/** The rest of a short grace period is left to requests on their way. */
const maxNoticeShare = 0.75
/**
 * Time at the end of the grace period that is reserved for answering what still runs
 * and for closing the remaining connections.
 */
const closeReserveMs = 700
const maxCloseReserveShare = 0.3
/** Part of it in which answers are written. */
const answerReserveShare = 0.5
const drainPollMs = 50
/** Connections that may wait to be accepted. */
const backlog = 1024
const httpNotFound = 404
const httpTooLarge = 413
const httpHeadersTooLarge = 431
const httpBadRequest = 400
const httpInternalError = 500

export class GatewayServer {
	private readonly server: Server
	private activeRequests = 0
	private drainStartedAt: number | undefined
	/** Connections that the gateway closed because they were idle. */
	private readonly idleSockets = new WeakSet<Socket>()
	private readonly connections: CallerConnections
	/** Requests whose connections are open. */
	private readonly exchanges = new Set<CallerExchange>()
	/** Whether no further connections are accepted. */
	private hasStoppedListening = false
	private isClosingAll = false
	private readonly stopping = new AbortController()

	constructor(private readonly options: GatewayServerOptions) {
		const {ctx, headerCheckMs} = options
		this.connections = new CallerConnections({
			onUnreadable: (code, serving) => {
				ctx.log.request("connection.unreadable", "", {code, serving})
			}
		})
		this.server = createServer(
			{
				maxHeaderSize: parserMaxHeaderBytes,
				noDelay: true,
				...(headerCheckMs === undefined
					? {}
					: {connectionsCheckingInterval: headerCheckMs})
			},
			(req, res) => {
				this.tryHandle(req, res)
			}
		)
		// No timeout for reading a request: on a keep-alive connection a request may
		// be read while earlier ones are still being served.
		this.server.requestTimeout = 0
		this.server.on("timeout", (socket: Socket) => {
			callIfIdle(socket, () => {
				this.closeIdleSocket(socket)
			})
		})
		this.server.on("clientError", (err, socket: Socket) => {
			this.connections.handleError(err, socket)
		})
		ctx.fleet.addListener({
			onConfig: ({limits}) => {
				this.server.keepAliveTimeout = limits.idleTimeoutMs
				this.server.headersTimeout = limits.headerTimeoutMs
			}
		})
	}

	/** Resolves after the first attempt to bind the address. */
	start(): Promise<void> {
		const {address, ctx} = this.options
		return bindWhenFree({
			address,
			purpose: "callers",
			bind: ({onError}) => listenAt(this.server, address, {backlog, onError}),
			unbind: () => {
				this.server.close()
			},
			signal: this.stopping.signal,
			log: ctx.log
		})
	}

	get isReady(): boolean {
		const {fleet, access} = this.options.ctx
		if (this.drainStartedAt !== undefined || !this.server.listening)
			return false
		return fleet.config !== undefined && access.canServeMembers
	}

	/**
	 * Fails the readiness probe, keeps serving until the load balancer has noticed,
	 * then waits for active requests until shortly before the grace period ends, and
	 * answers those whose response has not begun. Resolves at once if the address was
	 * not bound yet.
	 */
	async drain(): Promise<void> {
		const {ctx, graceMs} = this.options
		this.drainStartedAt = ctx.now()
		this.stopping.abort()
		if (!this.server.listening) return
		const reserveMs = Math.min(closeReserveMs, graceMs * maxCloseReserveShare)
		const answerBy = this.drainStartedAt + graceMs - reserveMs
		const noticeMs = (graceMs - reserveMs) * maxNoticeShare
		await sleep(Math.min(balancerNoticeMs, noticeMs))
		// From here on a request can only arrive on a connection that has an active
		// request; the response to that request closes the connection.
		this.server.close()
		this.hasStoppedListening = true
		await this.waitForRequests(answerBy)
		for (const exchange of [...this.exchanges]) exchange.endForDrain()
		// Streams that have begun go on meanwhile.
		await this.waitForRequests(answerBy + reserveMs * answerReserveShare)
		this.isClosingAll = true
		this.server.closeAllConnections()
	}

	private async waitForRequests(deadline: number): Promise<void> {
		while (this.activeRequests > 0 && this.options.ctx.now() < deadline) {
			this.server.closeIdleConnections()
			await sleep(drainPollMs)
		}
	}

	private closeIdleSocket(socket: Socket): void {
		const {metrics, log} = this.options.ctx
		this.idleSockets.add(socket)
		metrics.countConnectionClose(CloseReason.Idle)
		log.request("connection.closed", "", {
			reason: CloseReason.Idle,
			limitMs: this.server.keepAliveTimeout
		})
		socket.destroy()
	}

	private getCloseReason(socket: Socket): CloseReason | undefined {
		if (this.idleSockets.has(socket)) return CloseReason.Idle
		return this.isClosingAll ? CloseReason.Drain : undefined
	}

	/** A fault in one request ends no other. */
	private tryHandle(req: IncomingMessage, res: ServerResponse): void {
		try {
			this.handleRequest(req, res)
		} catch (err) {
			this.options.ctx.log.fault("request", err)
			if (res.headersSent) res.destroy()
			else respondWithText(req, res, httpInternalError, "internal fault")
		}
	}

	private handleRequest(req: IncomingMessage, res: ServerResponse): void {
		const {ctx} = this.options
		const arrivedAt = ctx.now()
		if (!this.connections.tryOpen(req.socket, res)) {
			req.resume()
			return
		}
		this.activeRequests += 1
		ctx.metrics.activeRequests.set(this.activeRequests)
		res.once("close", () => {
			this.activeRequests -= 1
			ctx.metrics.activeRequests.set(this.activeRequests)
		})
		if (this.drainStartedAt !== undefined) res.setHeader("Connection", "close")
		let head: RequestHead
		try {
			head = ctx.wire.decodeRequest(req)
		} catch (err) {
			if (!(err instanceof RejectedRequestError)) throw err
			ctx.log.request("request.malformed", "", {reason: err.message})
			respondWithText(req, res, err.status, err.message)
			return
		}
		this.routeRequest(req, res, head, arrivedAt)
	}

	private routeRequest(
		req: IncomingMessage,
		res: ServerResponse,
		head: RequestHead,
		arrivedAt: number
	): void {
		const {ctx} = this.options
		const {fleet, wire, log, metrics, now} = ctx
		const route = fleet.findRoute(head.host, head.path)
		const exchange = new CallerExchange({
			req,
			res,
			head,
			wire,
			log,
			metrics,
			callerBuffers: ctx.callerBuffers,
			kind: route?.kind ?? "none",
			arrivedAt,
			getCloseReason: () => this.getCloseReason(req.socket),
			now
		})
		this.exchanges.add(exchange)
		res.once("close", () => this.exchanges.delete(exchange))
		this.tryServe(exchange, () => {
			this.serveRoute(req, res, exchange, route, arrivedAt)
		})
	}

	/** Ends a request whose handling throws. */
	private tryServe(exchange: CallerExchange, serve: () => void): void {
		try {
			serve()
		} catch (err) {
			const {id} = exchange.head
			this.options.ctx.log.fault("request", err, {request: id})
			exchange.endForFault()
		}
	}

	private serveRoute(
		req: IncomingMessage,
		res: ServerResponse,
		exchange: CallerExchange,
		route: ForwardRoute | undefined,
		arrivedAt: number
	): void {
		const {ctx} = this.options
		const {fleet} = ctx
		const {head} = exchange
		if (fleet.config === undefined) {
			exchange.refuse("no configuration yet", unconfiguredRetryAfterMs, {})
			return
		}
		if (route === undefined) {
			// A newer configuration may have the route, and callers don't retry after 404.
			if (ctx.isConfigCurrent()) exchange.reject(httpNotFound, "no route")
			else exchange.refuse("no route yet", unconfiguredRetryAfterMs, {})
			return
		}
		const {member, denial} = ctx.access.identify(head, route)
		if (denial !== undefined) {
			respondDenial(exchange, denial)
			return
		}
		const {maxHeaderBytes, maxBodyBytes} = fleet.config.limits
		if (sumHeaderBytes(req) > maxHeaderBytes) {
			exchange.reject(httpHeadersTooLarge, "headers are too large")
			return
		}
		readBody(req, maxBodyBytes, exchange, body => {
			if (!exchange.isOpen) return
			if (body === undefined) {
				res.setHeader("Connection", "close")
				exchange.reject(httpTooLarge, "body is too large")
				return
			}
			this.tryServe(exchange, () => {
				this.startTask(exchange, route, member, body, arrivedAt)
			})
		})
	}

	private startTask(
		exchange: CallerExchange,
		route: ForwardRoute,
		member: Member | undefined,
		body: Buffer,
		arrivedAt: number
	): void {
		const {ctx} = this.options
		const {patienceMs = route.timeoutMs, generation} = exchange.head
		const deadline = arrivedAt + Math.min(patienceMs, route.timeoutMs)
		const deadlineSource =
			patienceMs < route.timeoutMs
				? DeadlineSource.Caller
				: DeadlineSource.Route
		const pool = pickPool(route.pools, ctx.random())
		if (pool === undefined) {
			exchange.refuse("the route has no service", unconfiguredRetryAfterMs, {})
			return
		}
		// The process may be killed before the request ends.
		if (this.hasStoppedListening) {
			exchange.refuse(leaving, 0, {})
			return
		}
		const request = {
			exchange,
			route,
			member,
			pool,
			body,
			arrivedAt,
			deadline,
			deadlineSource,
			configVersion: ctx.fleet.config?.version ?? 0
		}
		if (route.kind !== RouteKind.Generation) {
			new ServiceTask(ctx, request).start()
		} else if (generation === undefined) {
			exchange.reject(httpBadRequest, "X-Model is missing")
		} else new GenerationTask(ctx, request, generation).start()
	}
}

/** Draws a pool by weight; undefined when the route has none. */
function pickPool(
	shares: readonly PoolShare[],
	random: number
): string | undefined {
	const total = shares.reduce((sum, {weight}) => sum + weight, 0)
	let remaining = random * total
	for (const {pool, weight} of shares) {
		remaining -= weight
		if (remaining < 0 && weight > 0) return pool
	}
	return shares.at(-1)?.pool
}

function sumHeaderBytes(req: IncomingMessage): number {
	const separators = 2 * (req.rawHeaders.length / 2) * 2
	return req.rawHeaders.reduce((sum, text) => sum + text.length, separators)
}

function respondWithText(
	req: IncomingMessage,
	res: ServerResponse,
	status: number,
	reason: string
): void {
	req.resume()
	const body = `${reason}\n`
	res.writeHead(status, {
		"Content-Type": "text/plain",
		"Content-Length": String(Buffer.byteLength(body))
	})
	res.end(body)
}
