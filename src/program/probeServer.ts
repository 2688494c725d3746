/** HTTP server for load balancer readiness probes and Prometheus metrics. */
import type {Server} from "node:http"
import polka from "polka"
import type {Registry} from "prom-client"
import {messageOf} from "../utils/common.js"
import {listen} from "./health.js"

export interface ProbeServerOptions {
	isReady?: () => boolean
	registry?: Registry
	/** Called with each error of the server after it listens. */
	onError: (err: Error) => void
}

const httpOk = 200
const httpUnavailable = 503
const httpFailed = 500

/** Serves `/ready` if `isReady` is given, and `/metrics` if `registry` is. */
export function startProbeServer(
	address: string,
	{isReady, registry, onError}: ProbeServerOptions
): Promise<Server> {
	const app = polka()
	if (isReady !== undefined) {
		app.get("/ready", (_req, res) => {
			res.writeHead(isReady() ? httpOk : httpUnavailable)
			res.end()
		})
	}
	if (registry !== undefined) {
		app.get("/metrics", (_req, res) => {
			registry.metrics().then(
				text => {
					res.writeHead(httpOk, {"Content-Type": registry.contentType})
					res.end(text)
				},
				(err: unknown) => {
					res.writeHead(httpFailed)
					res.end(messageOf(err))
				}
			)
		})
	}
	return listen(app, address, onError)
}
