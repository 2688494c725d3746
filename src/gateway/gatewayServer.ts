/**
 * The callers' side of a gateway: reads whole requests, finds their routes and
 * starts a task for each. Nothing is forwarded before it has been read whole.
 */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse
} from "node:http"
import {
	type ForwardRoute,
	type PoolShare,
	RouteKind
} from "../contract/fleet.js"
import {sleep} from "../utils/common.js"
import {CallerExchange} from "./callerExchange.js"
import type {GatewayContext} from "./gatewayContext.js"
import {GenerationTask} from "./generationTask.js"
import {ServiceTask} from "./serviceTask.js"
import {RejectedRequestError, type RequestHead} from "./wire.js"

export interface GatewayServerOptions {
	/** `ip:port` for callers. */
	address: string
	ctx: GatewayContext
	/** Time from the signal to stop until the process is killed. */
	graceMs: number
}

/** Room above the configured limit, so that the limit can be answered. */
const parserHeaderBytes = 65_536
const startupRetryMs = 500
/** Time in which the balancer notices that a gateway is leaving. */
const noticeMs = 2500
/** Left of the grace period to end what still runs. */
const finalMs = 700
const pollMs = 50
const httpNotFound = 404
const httpTooLarge = 413
const httpHeadersTooLarge = 431
const httpBadRequest = 400

export class GatewayServer {
	private readonly server: Server
	private active = 0
	private stoppingAt: number | undefined

	constructor(private readonly options: GatewayServerOptions) {
		this.server = createServer(
			{maxHeaderSize: parserHeaderBytes, noDelay: true},
			(req, res) => {
				this.handle(req, res)
			}
		)
		// A request may be read while earlier ones of its connection are served.
		this.server.requestTimeout = 0
		options.ctx.fleet.listen({
			onConfig: ({limits}) => {
				this.server.keepAliveTimeout = limits.idleTimeoutMs
				this.server.headersTimeout = limits.headerTimeoutMs
			}
		})
	}

	start(): Promise<void> {
		const [host, port] = this.options.address.split(":")
		return new Promise((resolve, reject) => {
			this.server.once("error", reject)
			this.server.listen({host, port: Number(port), backlog: 1024}, resolve)
		})
	}

	get isReady(): boolean {
		const {config} = this.options.ctx.fleet
		return this.stoppingAt === undefined && config !== undefined
	}

	/** Serves on until the balancer has noticed, and finishes what runs. */
	async drain(): Promise<void> {
		const {now} = this.options.ctx
		this.stoppingAt = now()
		const lastAt = this.stoppingAt + this.options.graceMs - finalMs
		await sleep(noticeMs)
		// From here on a request can only come on a connection that is in use, and
		// the answer there closes it.
		this.server.close()
		while (this.active > 0 && now() < lastAt) {
			this.server.closeIdleConnections()
			await sleep(pollMs)
		}
		this.server.closeAllConnections()
	}

	private handle(req: IncomingMessage, res: ServerResponse): void {
		const {ctx} = this.options
		const arrivedAt = ctx.now()
		this.active += 1
		ctx.metrics.active.set(this.active)
		res.once("close", () => {
			this.active -= 1
			ctx.metrics.active.set(this.active)
		})
		if (this.stoppingAt !== undefined) res.setHeader("Connection", "close")
		let head: RequestHead
		try {
			head = ctx.wire.decodeRequest(req)
		} catch (err) {
			if (!(err instanceof RejectedRequestError)) throw err
			ctx.log.request("request.malformed", "", {reason: err.message})
			sendPlain(req, res, err.status, err.message)
			return
		}
		this.route(req, res, head, arrivedAt)
	}

	private route(
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
			kind: route?.kind ?? "none",
			arrivedAt,
			now
		})
		if (fleet.config === undefined) {
			exchange.refuse("no configuration yet", startupRetryMs, {})
			return
		}
		if (route === undefined) {
			exchange.reject(httpNotFound, "no route")
			return
		}
		const {maxHeaderBytes, maxBodyBytes} = fleet.config.limits
		if (countHeaderBytes(req) > maxHeaderBytes) {
			exchange.reject(httpHeadersTooLarge, "headers are too large")
			return
		}
		readBody(req, maxBodyBytes, body => {
			if (!exchange.isOpen) return
			if (body === undefined) {
				res.setHeader("Connection", "close")
				exchange.reject(httpTooLarge, "body is too large")
				return
			}
			this.serve(exchange, route, body, arrivedAt)
		})
	}

	private serve(
		exchange: CallerExchange,
		route: ForwardRoute,
		body: Buffer,
		arrivedAt: number
	): void {
		const {ctx} = this.options
		const {patienceMs = route.timeoutMs, generation} = exchange.head
		const deadline = arrivedAt + Math.min(patienceMs, route.timeoutMs)
		const pool = pickPool(route.pools, ctx.random())
		if (pool === undefined) {
			exchange.refuse("the route has no service", startupRetryMs, {})
			return
		}
		if (this.isLeaving()) {
			exchange.refuse("leaving", 0, {})
			return
		}
		const request = {exchange, route, pool, body, arrivedAt, deadline}
		if (route.kind !== RouteKind.Generation) {
			new ServiceTask(ctx, request).start()
		} else if (generation === undefined) {
			exchange.reject(httpBadRequest, "X-Model is missing")
		} else new GenerationTask(ctx, request, generation).start()
	}

	/** Whether a request that comes now might outlive this process. */
	private isLeaving(): boolean {
		if (this.stoppingAt === undefined) return false
		return this.options.ctx.now() > this.stoppingAt + noticeMs
	}
}

function pickPool(
	shares: readonly PoolShare[],
	random: number
): string | undefined {
	const total = shares.reduce((sum, {weight}) => sum + weight, 0)
	let left = random * total
	for (const {pool, weight} of shares) {
		left -= weight
		if (left < 0 && weight > 0) return pool
	}
	return shares.at(-1)?.pool
}

function countHeaderBytes(req: IncomingMessage): number {
	const separators = 2 * (req.rawHeaders.length / 2) * 2
	return req.rawHeaders.reduce((sum, text) => sum + text.length, separators)
}

/** Calls back with undefined when the body is larger than permitted. */
function readBody(
	req: IncomingMessage,
	maxBytes: number,
	onBody: (body: Buffer | undefined) => void
): void {
	const chunks: Buffer[] = []
	let size = 0
	let isTooLarge = false
	req.on("data", (chunk: Buffer) => {
		size += chunk.length
		if (isTooLarge) return
		if (size <= maxBytes) {
			chunks.push(chunk)
			return
		}
		isTooLarge = true
		chunks.length = 0
		onBody(undefined)
	})
	req.on("end", () => {
		if (!isTooLarge) onBody(Buffer.concat(chunks))
	})
	// A caller that leaves midway is seen by its answer's `close`.
	req.on("error", () => undefined)
}

function sendPlain(
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
