/**
 * One request to one endpoint, on a connection of its own. A fresh connection
 * can't carry a late answer to an earlier request, can't have been closed by an
 * idle timeout as the request leaves, and tells surely whether anything was sent.
 *
 * node:http is used in place of undici, which takes the reset of a connection
 * for the proper end of an answer that has no length.
 */
import {type ClientRequest, request as httpRequest} from "node:http"
import type {IncomingMessage} from "node:http"
import {connect, type Socket} from "node:net"
import type {AnswerHead, RequestHead, Wire} from "./wire.js"

export enum CallEnd {
	/** No byte left for the endpoint. */
	NeverSent = "neverSent",
	/** The endpoint states that the request has not run and will not. */
	NotRun = "notRun",
	/** The whole answer arrived. */
	Complete = "complete",
	/** Sent, and the answer is missing, cut or not ours: it may have run. */
	Broken = "broken",
	Aborted = "aborted"
}

export interface CallHandlers {
	onData(chunk: Buffer): void
	/** Called once; `detail` says why for the log. */
	onEnd(end: CallEnd, detail: string): void
}

export interface EndpointCallOptions {
	/** `ip:port`. */
	address: string
	wire: Wire
	head: RequestHead
	/** Header names and values in turn. */
	headers: readonly string[]
	body: Buffer
	handlers: CallHandlers
	/** Longest wait for a connection, milliseconds. */
	connectMs?: number
	/** Monotonic milliseconds. */
	now?: () => number
}

/** Several round trips between failure domains; a dead host answers nothing. */
const defaultConnectMs = 400

export class EndpointCall {
	private readonly req: ClientRequest
	private readonly socket: Socket
	private readonly options: EndpointCallOptions
	private res: IncomingMessage | undefined
	private answer: AnswerHead | undefined
	private isConnected = false
	private isEnded = false
	private readonly connectTimer: NodeJS.Timeout

	constructor(options: EndpointCallOptions) {
		this.options = options
		const [host = "", port = ""] = options.address.split(":")
		this.socket = connect({
			host,
			port: Number(port),
			noDelay: true,
			allowHalfOpen: true
		})
		const {connectMs = defaultConnectMs} = options
		const now = options.now ?? (() => performance.now())
		const connectBy = now() + connectMs
		this.connectTimer = setTimeout(() => {
			this.finish(CallEnd.NeverSent, "no connection in time")
		}, connectMs)
		this.socket.once("connect", () => {
			// A process that stood still sees the connection before the timer.
			if (now() > connectBy) {
				this.finish(CallEnd.NeverSent, "connected too late")
				return
			}
			this.isConnected = true
			clearTimeout(this.connectTimer)
		})
		this.req = httpRequest({
			method: options.head.method,
			path: options.head.target,
			headers: options.headers,
			setHost: false,
			createConnection: () => this.socket
		})
		this.req.on("error", err => {
			this.fail(err)
		})
		this.req.on("response", res => {
			this.receive(res)
		})
		this.socket.prependListener("end", () => {
			this.checkClose()
		})
		this.req.end(options.body)
	}

	/** Ends the request at the endpoint by closing its connection. */
	abort(): void {
		this.finish(CallEnd.Aborted, "given up")
	}

	get wasSent(): boolean {
		return this.isConnected
	}

	private receive(res: IncomingMessage): void {
		this.res = res
		const {wire, head, handlers} = this.options
		const answer = wire.decodeAnswer(res, head.id)
		this.answer = answer
		res.on("error", err => {
			this.fail(err)
		})
		if (answer.isNotRun) {
			res.resume()
			this.finish(CallEnd.NotRun, `status ${answer.status}`)
			return
		}
		if (!answer.isOurs || !answer.isSigned) {
			this.finish(CallEnd.Broken, "not this endpoint's answer")
			return
		}
		res.on("data", (chunk: Buffer) => {
			if (!this.isEnded) handlers.onData(chunk)
		})
		res.on("end", () => {
			if (res.complete) this.finish(CallEnd.Complete, "whole")
			else this.finish(CallEnd.Broken, "answer cut")
		})
		res.on("close", () => {
			if (!res.complete) this.finish(CallEnd.Broken, "answer cut")
		})
	}

	/**
	 * libuv reports the end of a connection in place of its reset when bytes
	 * were still unread. An answer without a length ends with the connection, so
	 * it is only whole if the connection can still be written to.
	 */
	private checkClose(): void {
		if (this.isEnded || this.res === undefined || hasLength(this.res)) return
		this.socket.write("\r\n")
		const {errored} = this.socket
		if (errored !== null) this.finish(CallEnd.Broken, errored.message)
	}

	/** Bytes after a whole answer are an error too, but not of this answer. */
	private fail(err: Error): void {
		if (this.res?.complete === true) return
		const end = this.isConnected ? CallEnd.Broken : CallEnd.NeverSent
		this.finish(end, err.message)
	}

	private finish(end: CallEnd, detail: string): void {
		if (this.isEnded) return
		this.isEnded = true
		clearTimeout(this.connectTimer)
		// Without a listener, an error after the end would be thrown.
		this.socket.on("error", () => undefined)
		this.req.destroy()
		this.socket.destroy()
		this.options.handlers.onEnd(end, detail)
	}

	/** The head of the answer, once it arrived. */
	get head(): AnswerHead | undefined {
		return this.answer
	}
}

function hasLength({headers}: IncomingMessage): boolean {
	return (
		headers["content-length"] !== undefined ||
		headers["transfer-encoding"] !== undefined
	)
}
