/** The callers' HTTP side of an entry. */
import {readFileSync} from "node:fs"
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse
} from "node:http"
import {createServer as createTlsServer} from "node:https"
import polka from "polka"
import {BadRequestError, SettingsError} from "../contract/errors.js"
import {
	addHealthRoutes,
	type Counters,
	listen,
	type Log
} from "../program/index.js"
import {messageOf, sleep} from "../utils/common.js"
import {MethodError} from "./methodError.js"
import {sendError} from "./outcome.js"
import type {RequestHandler} from "./requestHandler.js"

export interface CallerServerOptions {
	address: string
	handler: RequestHandler
	isReady: () => boolean
	counters: Counters
	log: Log
	/** PEM files, both empty for plain HTTP. */
	callerCert: string
	callerKey: string
}

type CallerRequest = Parameters<polka.Middleware>[0]
type Handle = (req: CallerRequest, res: ServerResponse) => Promise<void>

const notFound = 404
const servicePrefix = "/v1/services"
const methodOfPath = {
	"/v1/completions": "POST",
	"/v1/chat/completions": "POST",
	"/v1/streams/:id": "GET",
	"/v1/tickets/:route": "POST"
}
const pollMs = 20
const keepAliveMs = 65_000

export class CallerServer {
	private active = 0
	private isDraining = false
	private server: Server | undefined

	private constructor(private readonly options: CallerServerOptions) {}

	static async start(options: CallerServerOptions): Promise<CallerServer> {
		const caller = new CallerServer(options)
		await caller.open()
		return caller
	}

	/** Stops accepting after `lameDuckMs`, then waits for running requests. */
	async drain(lameDuckMs: number, deadline: number): Promise<void> {
		this.isDraining = true
		await sleep(lameDuckMs)
		this.server?.close()
		while (this.active > 0 && Date.now() < deadline) await sleep(pollMs)
		this.server?.closeAllConnections()
	}

	private async open(): Promise<void> {
		const {handler, counters, isReady, address} = this.options
		const server = this.createServer()
		const app = polka({
			server,
			onNoMatch: (req, res) => {
				const {method, url} = req
				const reason = `no route takes ${method} ${url}`
				this.fail(req, res, new BadRequestError("path", reason, notFound))
			}
		})
		app.use((_req, res, next) => {
			if (this.isDraining) res.setHeader("connection", "close")
			next()
		})
		addHealthRoutes(app, {
			counters,
			isReady: () => isReady() && !this.isDraining
		})
		app.post(
			"/v1/completions",
			this.wrap((req, res) =>
				handler.generations.handleCompletion(req, res, false)
			)
		)
		app.post(
			"/v1/chat/completions",
			this.wrap((req, res) =>
				handler.generations.handleCompletion(req, res, true)
			)
		)
		app.get(
			"/v1/streams/:id",
			this.wrap((req, res) => {
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
			this.wrap((req, res) =>
				handler.services.handleTicket(req, res, String(req.params.route))
			)
		)
		this.refuseOtherMethods(app)
		app.all(
			`${servicePrefix}/*`,
			this.wrap((req, res) => {
				const path = req.originalUrl.slice(servicePrefix.length)
				return handler.services.handleService(req, res, path)
			})
		)
		this.server = await listen(app, address)
		this.server.keepAliveTimeout = keepAliveMs
	}

	/** Comes after the routes themselves, which take their own methods. */
	private refuseOtherMethods(app: polka.Polka): void {
		for (const [path, allowed] of Object.entries(methodOfPath)) {
			app.all(path, (req, res) => {
				const {method, url} = req
				this.fail(req, res, new MethodError(method, url, [allowed]))
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

	/** Counts a request while it runs and ends it when its handler throws. */
	private wrap(handle: Handle): polka.Middleware {
		return (req, res) => {
			this.active += 1
			let isCounted = true
			const release = (): void => {
				if (!isCounted) return
				isCounted = false
				this.active -= 1
			}
			res.on("close", release)
			handle(req, res).catch((err: unknown) => {
				this.fail(req, res, err)
			})
		}
	}

	private fail(req: IncomingMessage, res: ServerResponse, err: unknown): void {
		this.options.counters.add("requests.rejected")
		if (res.headersSent) {
			res.destroy()
			return
		}
		const message = messageOf(err)
		this.options.log.debug("request rejected", {url: req.url, message})
		sendError(res, err)
	}
}
