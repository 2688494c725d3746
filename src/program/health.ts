/** HTTP routes for the health, readiness and counters of a process. */
import type {Server, ServerResponse} from "node:http"
import polka from "polka"
import {splitAddress} from "../utils/common.js"
import type {Counters} from "./counters.js"

export interface HealthOptions {
	isReady: () => boolean
	counters: Counters
}

export interface HealthServerOptions extends HealthOptions {
	/** Called with each error of the server after it listens. */
	onError: (err: Error) => void
}

const httpOk = 200
const httpUnavailable = 503

/** Adds `/healthz`, `/readyz` and `/metrics.json` to a polka application. */
export function addHealthRoutes(
	app: polka.Polka,
	{isReady, counters}: HealthOptions
): void {
	app.get("/healthz", (_req, res) => {
		sendJson(res, httpOk, {status: "ok"})
	})
	app.get("/readyz", (_req, res) => {
		const ready = isReady()
		sendJson(res, ready ? httpOk : httpUnavailable, {ready})
	})
	app.get("/metrics.json", (_req, res) => {
		const {user, system} = process.cpuUsage()
		const {rss, heapUsed} = process.memoryUsage()
		sendJson(res, httpOk, {
			counters: counters.snapshot(),
			cpuMicros: user + system,
			rssBytes: rss,
			heapBytes: heapUsed,
			uptimeSeconds: process.uptime()
		})
	})
}

/** Starts an HTTP server at `ip:port` with the health routes alone. */
export function startHealthServer(
	address: string,
	{onError, ...options}: HealthServerOptions
): Promise<Server> {
	const app = polka()
	addHealthRoutes(app, options)
	return listen(app, address, onError)
}

/**
 * Listens at `ip:port`; resolves with the server once it is bound, whose errors from
 * then on are passed to `onError`.
 */
export function listen(
	app: polka.Polka,
	address: string,
	onError: (err: Error) => void
): Promise<Server> {
	const {host, port} = splitAddress(address)
	return new Promise((resolve, reject) => {
		app.listen(port, host)
		const server = app.server
		if (server === undefined) {
			reject(new TypeError("the HTTP server did not start"))
			return
		}
		server.once("error", reject)
		server.once("listening", () => {
			server.on("error", onError)
			server.off("error", reject)
			resolve(server)
		})
	})
}

export function sendJson(
	res: ServerResponse,
	status: number,
	body: unknown,
	headers: Record<string, string> = {}
): void {
	res.writeHead(status, {"content-type": "application/json", ...headers})
	res.end(JSON.stringify(body))
}
