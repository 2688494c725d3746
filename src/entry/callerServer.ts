/** The HTTP server of an entry for callers' requests. */
import {readFileSync} from "node:fs"
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse
} from "node:http"
import {createServer as createTlsServer} from "node:https"
import type {Socket} from "node:net"
import polka from "polka"
import {BadRequestError, SettingsError} from "../contract/errors.js"
import {NotRunReason} from "../contract/gen/link_pb.js"
import {
	addHealthRoutes,
	bindWhenFree,
	type Counters,
	callIfIdle,
	type Log,
	CallerConnections
} from "../program/index.js"
import {messageOf, sleep} from "../utils/common.js"
import {listenAt} from "../utils/listenAt.js"
import {MethodError} from "./methodError.js"
import {notRunOutcome, sendError, sendFailure} from "./outcome.js"
import type {RequestHandler} from "./requestHandler.js"

export interface CallerServerOptions {
	address: string
	handler: RequestHandler
	isReady: () => boolean
	counters: Counters
	log: Log
	/** Paths of PEM files; both empty for plain HTTP. */
	callerCert: string
	callerKey: string
	/** How long a connection may stay idle. */
	keepAliveMs?: number
}

type CallerRequest = Parameters<polka.Middleware>[0]
type AsyncHandler = (req: CallerRequest, res: ServerResponse) => Promise<void>

const notFound = 404
const servicePrefix = "/v1/services"
const allowedMethods = {
	"/v1/completions": "POST",
	"/v1/chat/completions": "POST",
	"/v1/streams/:id": "GET",
	"/v1/tickets/:route": "POST"
}
const drainPollMs = 20
const defaultKeepAliveMs = 65_000

export class CallerServer {
	private activeRequests = 0
	private isDraining = false
	/** Whether no further connections and requests are accepted. */
	private hasStoppedListening = false
	private server: Server | undefined
	private readonly stopping = new AbortController()

	private constructor(private readonly options: CallerServerOptions) {}

	/** Resolves after the first attempt to bind the address. */
	static async start(options: CallerServerOptions): Promise<CallerServer> {
		const callerServer = new CallerServer(options)
		await callerServer.open()
		return callerServer
	}

	/**
	 * Reports not ready for `lameDuckMs`, then stops accepting connections and
	 * requests, and waits for the running ones. At `deadline` it closes the
	 * connections of those that still run. Resolves at once if the address was not
	 * bound yet.
	 */
	async drain(lameDuckMs: number, deadline: number): Promise<void> {
		this.isDraining = true
		this.stopping.abort()
		if (this.server?.listening !== true) return
		await sleep(lameDuckMs)
		this.server.close()
		this.hasStoppedListening = true
		while (this.activeRequests > 0 && Date.now() < deadline)
			await sleep(drainPollMs)
		this.server.closeAllConnections()
	}

	private async open(): Promise<void> {
		const {handler, counters, isReady, address, log} = this.options
		const {keepAliveMs = defaultKeepAliveMs} = this.options
		const server = this.createServer()
		const connections = new CallerConnections({
			onUnreadable: (code, serving) => {
				log.debug("connection can't be read", {code, serving})
			}
		})
		server.on("timeout", (socket: Socket) => {
			callIfIdle(socket, () => {
				socket.destroy()
			})
		})
		server.on("clientError", (err, socket: Socket) => {
			connections.handleError(err, socket)
		})
		const app = polka({
			server,
			onNoMatch: (req, res) => {
				const {method, url} = req
				const reason = `no route takes ${method} ${url}`
				this.endWithError(
					req,
					res,
					new BadRequestError("path", reason, notFound)
				)
			}
		})
		app.use((req, res, next) => {
			if (!connections.tryOpen(req.socket, res)) {
				req.resume()
				return
			}
			if (this.isDraining) res.setHeader("connection", "close")
			next()
		})
		addHealthRoutes(app, {
			counters,
			isReady: () => isReady() && !this.isDraining
		})
		app.post(
			"/v1/completions",
			this.trackRequest((req, res) =>
				handler.generations.handleCompletion(req, res, false)
			)
		)
		app.post(
			"/v1/chat/completions",
			this.trackRequest((req, res) =>
				handler.generations.handleCompletion(req, res, true)
			)
		)
		app.get(
			"/v1/streams/:id",
			this.trackRequest((req, res) => {
				const {offset} = req.query as Record<string, unknown>
				return handler.generations.handleResume(
					req,
					res,
					String(req.params.id),
					offset
				)
			})
		)
		app.post(
			"/v1/tickets/:route",
			this.trackRequest((req, res) =>
				handler.services.handleTicket(req, res, String(req.params.route))
			)
		)
		this.rejectOtherMethods(app)
		app.all(
			`${servicePrefix}/*`,
			this.trackRequest((req, res) => {
				const path = req.originalUrl.slice(servicePrefix.length)
				return handler.services.handleService(req, res, path)
			})
		)
		server.on("request", (req, res) => {
			app.handler(req as Parameters<typeof app.handler>[0], res)
		})
		server.keepAliveTimeout = keepAliveMs
		this.server = server
		await bindWhenFree({
			address,
			purpose: "callers",
			bind: ({onError}) => listenAt(server, address, {onError}),
			unbind: () => {
				server.close()
			},
			signal: this.stopping.signal,
			log: {
				decide: (event, inputs) => {
					log.warn(event, inputs)
				}
			}
		})
	}

	/**
	 * Answers 405 to the other methods of known paths. Must be registered after
	 * the routes, since the first matching handler answers.
	 */
	private rejectOtherMethods(app: polka.Polka): void {
		for (const [path, allowed] of Object.entries(allowedMethods)) {
			app.all(path, (req, res) => {
				const {method, url} = req
				this.endWithError(req, res, new MethodError(method, url, [allowed]))
			})
		}
	}

	private createServer(): Server {
		const {callerCert, callerKey} = this.options
		if (callerCert === "" && callerKey === "") return createServer()
		if (callerCert === "" || callerKey === "") {
			const fault = "--caller-cert and --caller-key must be set together"
			throw new SettingsError([fault])
		}
		try {
			const cert = readFileSync(callerCert)
			const key = readFileSync(callerKey)
			return createTlsServer({cert, key})
		} catch (err) {
			const fault = `--caller-cert and --caller-key: ${messageOf(err)}`
			throw new SettingsError([fault])
		}
	}

	/**
	 * Counts a request as running until its response closes. If its handler
	 * rejects, answers with an error, or closes the connection if the response
	 * has begun.
	 */
	private trackRequest(handle: AsyncHandler): polka.Middleware {
		return (req, res) => {
			if (this.hasStoppedListening) {
				const detail = "the entry is leaving"
				sendFailure(res, notRunOutcome(NotRunReason.LEAVING, detail), "")
				return
			}
			this.activeRequests += 1
			let isCounted = true
			const release = (): void => {
				if (!isCounted) return
				isCounted = false
				this.activeRequests -= 1
			}
			res.on("close", release)
			handle(req, res).catch((err: unknown) => {
				this.endWithError(req, res, err)
			})
		}
	}

	private endWithError(
		req: IncomingMessage,
		res: ServerResponse,
		err: unknown
	): void {
		this.options.counters.add("requests.rejected")
		if (res.headersSent) {
			res.destroy()
			return
		}
		const message = messageOf(err)
		this.options.log.debug("request ended with an error response", {
			url: req.url,
			message
		})
		sendError(res, err)
	}
}
