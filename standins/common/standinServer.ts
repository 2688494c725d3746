/**
 * Base class of the stand-ins, which replace the external systems (platform,
 * weight store, model engines, services) in tests and benchmarks. Each is an
 * HTTP server, by default on the loopback interface. Requests to `/control/`
 * inject faults and read what really happened, which tests compare with what
 * the callers saw.
 */
import {once} from "node:events"
import {
	createServer,
	type IncomingMessage,
	type OutgoingHttpHeaders,
	type ServerResponse
} from "node:http"
import type {AddressInfo} from "node:net"
import polka from "polka"
import {z} from "zod"
import {messageOf, sleep} from "../../src/utils/common.js"

export interface ListenOptions {
	/** IP address to listen on; host names are not resolved. */
	ip?: string
	/** Zero lets the operating system choose a free port. */
	port?: number
}

/** A request whose body has been read, with decoded parameters and query. */
export interface Call {
	req: IncomingMessage
	res: ServerResponse
	params: Record<string, string>
	query: Record<string, string>
	body: string
}

/** Response of a route; the body is sent as JSON. */
export interface Answer {
	status?: number
	headers?: OutgoingHttpHeaders
	body: object
}

/** Returns undefined when it has sent the response itself or cut the socket. */
export type Handler = (
	call: Call
) => Answer | undefined | Promise<Answer | undefined>

export interface HttpErrorOptions {
	/** Added to the response body next to `error`. */
	details?: object
	headers?: OutgoingHttpHeaders
}

/** Thrown by a handler to answer a call with `status` and `message`. */
export class HttpError extends Error {
	constructor(
		readonly status: number,
		message: string,
		readonly options: HttpErrorOptions = {}
	) {
		super(message)
	}
}

/** Faults that every stand-in supports. Control routes ignore them. */
export const commonFaultSchemas = {
	/**
	 * Destroys the connections of calls in progress, and of every new call once
	 * it has been read.
	 */
	outage: z.boolean(),
	/** Requests are read, but neither handled nor answered. */
	hang: z.boolean(),
	/**
	 * Delay before a call is handled. The call is handled even if its caller
	 * disconnects meanwhile.
	 */
	delayMs: z.number().min(0)
}

export interface CommonFaults {
	outage: boolean
	hang: boolean
	delayMs: number
}

export const noCommonFaults: CommonFaults = {
	outage: false,
	hang: false,
	delayMs: 0
}

const maxBodyBytes = 1_000_000
const keepAliveMs = 60_000
const controlPathPrefix = "/control/"

export abstract class StandinServer<F extends CommonFaults> {
	private readonly server = createServer()
	private readonly app = polka({
		server: this.server,
		onNoMatch: answerUnknownRoute
	})
	private readonly activeCalls = new Set<Call>()

	protected constructor(
		private readonly faultSchema: z.ZodType<object>,
		protected faults: F
	) {
		this.server.keepAliveTimeout = keepAliveMs
		this.route("GET", "/healthz", () => ({body: {status: "ok"}}))
		this.route("GET", "/control/truth", () => ({body: this.truth()}))
		this.route("POST", "/control/faults", call => {
			this.setFaults(parseJson(call) as Partial<F>)
			return {body: this.faults}
		})
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port
	}

	get url(): string {
		const {address, port} = this.server.address() as AddressInfo
		return `http://${address}:${port}`
	}

	/** Number of calls in progress; control calls are not counted. */
	get openCallCount(): number {
		return this.activeCalls.size
	}

	/** Counts of what happened, to compare with what the callers saw. */
	abstract truth(): object

	/** Replaces the faults named in `changes` and keeps the others. */
	setFaults(changes: Partial<F>): void {
		const parsed = this.faultSchema.parse(changes) as Partial<F>
		this.faults = {...this.faults, ...parsed}
		if (this.faults.outage) this.destroyCalls()
		this.applyFaults?.(parsed)
	}

	async listen({ip = "127.0.0.1", port = 0}: ListenOptions): Promise<this> {
		this.app.listen(port, ip)
		await once(this.server, "listening")
		return this
	}

	async close(): Promise<void> {
		const closed = once(this.server, "close")
		this.server.close()
		this.server.closeAllConnections()
		await closed
	}

	/** Called after `setFaults`, for faults that take effect immediately. */
	protected applyFaults?(changes: Partial<F>): void

	protected route(
		method: "GET" | "PUT" | "POST" | "DELETE",
		path: string,
		handler: Handler
	): void {
		this.app.add(method, path, (req, res) => {
			void this.serve(req, res, handler, req.params as Call["params"])
		})
	}

	/** Destroys the sockets of all calls in progress. */
	protected destroyCalls(): void {
		for (const {req} of this.activeCalls) req.socket.destroy()
	}

	private async serve(
		req: IncomingMessage,
		res: ServerResponse,
		handler: Handler,
		rawParams: Call["params"]
	): Promise<void> {
		res.on("error", () => undefined)
		try {
			const params = decodeParams(rawParams)
			const body = await readBody(req)
			const call = {req, res, params, query: readQuery(req), body}
			if (!isControlCall(req) && !(await this.applyCommonFaults(call))) return
			const answer = await handler(call)
			if (answer !== undefined) sendAnswer(res, answer)
		} catch (err) {
			sendError(res, err)
		}
	}

	/** Returns false when a fault prevents the call from being handled. */
	private async applyCommonFaults(call: Call): Promise<boolean> {
		const {req, res} = call
		this.activeCalls.add(call)
		res.once("close", () => this.activeCalls.delete(call))
		if (this.faults.delayMs > 0) await sleep(this.faults.delayMs)
		if (this.faults.outage) req.socket.destroy()
		return !this.faults.outage && !this.faults.hang
	}
}

/** @throws HttpError 400 when the body is not JSON */
export function parseJson({body}: Call): unknown {
	try {
		return JSON.parse(body) as unknown
	} catch (err) {
		throw new HttpError(400, `body is not JSON: ${messageOf(err)}`)
	}
}

/** @throws HttpError 400 when the parameter is not a non-negative integer */
export function readQueryInteger(
	{query}: Call,
	key: string,
	fallback: number
): number {
	const value = Number(query[key] ?? fallback)
	if (Number.isInteger(value) && value >= 0) return value
	throw new HttpError(400, `${key} is not an integer: ${query[key] ?? ""}`)
}

/** Returns the value of a header, or undefined when it was not sent. */
export function readHeader(
	req: IncomingMessage,
	name: string
): string | undefined {
	const value = req.headers[name]
	return Array.isArray(value) ? value[0] : value
}

async function readBody(req: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = []
	let size = 0
	for await (const chunk of req as AsyncIterable<Buffer>) {
		size += chunk.length
		if (size <= maxBodyBytes) chunks.push(chunk)
	}
	if (size <= maxBodyBytes) return Buffer.concat(chunks).toString()
	throw new HttpError(413, `body of ${size} bytes exceeds ${maxBodyBytes}`)
}

function isControlCall(req: IncomingMessage): boolean {
	return req.url?.startsWith(controlPathPrefix) === true
}

function decodeParams(params: Record<string, string>): Record<string, string> {
	try {
		return Object.fromEntries(
			Object.entries(params).map(([key, value]) => [
				key,
				decodeURIComponent(value)
			])
		)
	} catch (err) {
		throw new HttpError(400, `path is malformed: ${messageOf(err)}`)
	}
}

function readQuery(req: IncomingMessage): Record<string, string> {
	const {searchParams} = new URL(req.url ?? "/", "http://standin")
	return Object.fromEntries(searchParams)
}

function sendAnswer(
	res: ServerResponse,
	{status = 200, headers = {}, body}: Answer
): void {
	if (res.destroyed || res.headersSent) return
	res.writeHead(status, {"content-type": "application/json", ...headers})
	res.end(JSON.stringify(body))
}

function sendError(res: ServerResponse, err: unknown): void {
	if (err instanceof HttpError) {
		const {status, message, options} = err
		const {headers = {}, details} = options
		sendAnswer(res, {status, headers, body: {error: message, ...details}})
		return
	}
	const status = err instanceof z.ZodError ? 400 : 500
	sendAnswer(res, {status, body: {error: messageOf(err)}})
}

function answerUnknownRoute(req: IncomingMessage, res: ServerResponse): void {
	const error = `no route for ${req.method ?? ""} ${req.url ?? ""}`
	sendAnswer(res, {status: 404, body: {error}})
}
