/**
 * Sends one request to one endpoint on a new connection. A new connection can't
 * deliver a late response to an earlier request, can't be closed by an idle
 * timeout while the request is being sent, and shows reliably whether anything
 * was sent.
 *
 * Uses node:http rather than undici: undici treats a connection reset as the
 * regular end of a response without a length.
 */
import {type ClientRequest, request as httpRequest} from "node:http"
import type {IncomingMessage} from "node:http"
import {connect, type Socket} from "node:net"
import {findReset, isFramed} from "../../link/connectionEnd.js"
import {hasExcessFraming} from "../../policy/buffers/index.js"
import {messageOf} from "../../utils/common.js"
import type {LogFields} from "../callers/callerExchange.js"
import type {RunRecord} from "../callers/runRecord.js"
import type {ResponseHead, RequestHead, WireCodec} from "../wire.js"

/** How a call to an endpoint ended. */
export enum CallOutcome {
	/** Nothing was sent: no connection was established within the timeout. */
	NeverSent = "neverSent",
	/** The endpoint stated that it did not and will not run the request. */
	NotRun = "notRun",
	/** The complete response arrived. */
	Complete = "complete",
	/**
	 * The request was sent, but the response is missing, truncated or not one to
	 * this request. The request may have run.
	 */
	Broken = "broken",
	/** The gateway aborted the call. */
	Aborted = "aborted"
}

export interface CallHandlers {
	/**
	 * Called when the connection is established, before anything is sent. Returns
	 * whether the request may be sent.
	 */
	onConnected?(): boolean
	/** Called when the head of a response arrives, before the other handlers. */
	onHead?(head: ResponseHead): void
	onData(chunk: Buffer): void
	/** Called with the bytes of the body that were read and not given to `onData`. */
	onUnread?(bytes: number): void
	/** Called when the handling of the head or of data has thrown. */
	onFault(err: unknown): void
	/**
	 * Called once; `detail` is the reason, for the log and for the response to the
	 * caller.
	 */
	onEnd(outcome: CallOutcome, detail: string): void
}

export interface EndpointCallOptions {
	/** `ip:port`. */
	address: string
	wire: WireCodec
	head: RequestHead
	/** Alternating header names and values. */
	headers: readonly string[]
	body: Buffer
	/** Is told when the request may run, and when it didn't. */
	runs: RunRecord
	handlers: CallHandlers
	/** Timeout for establishing the connection, milliseconds. */
	connectTimeoutMs?: number | undefined
	/** Monotonic milliseconds. */
	now?: () => number
}

/**
 * Several round trips between failure domains. A dead host sends no reply, so
 * only this timeout detects it.
 */
const defaultConnectTimeoutMs = 400
/** Interim answers (1xx) before an answer; endpoints send none or one. */
const maxInterimAnswers = 8

export class EndpointCall {
	private req: ClientRequest | undefined
	private socket: Socket | undefined
	private readonly options: EndpointCallOptions
	private res: IncomingMessage | undefined
	private receivedHead: ResponseHead | undefined
	private isConnected = false
	private isSettled = false
	private interimAnswers = 0
	private bodyBytes = 0
	private pieces = 0
	private unreadBytes = 0
	private wasRejected = false
	private connectTimer: NodeJS.Timeout | undefined

	constructor(options: EndpointCallOptions) {
		this.options = options
		try {
			this.open()
		} catch (err) {
			// The handlers refer to this call, so it must exist when they are called.
			process.nextTick(() => {
				this.settle(CallOutcome.NeverSent, `can't be sent: ${messageOf(err)}`)
			})
		}
	}

	private open(): void {
		const {options} = this
		const [host = "", port = ""] = options.address.split(":")
		const socket = connect({
			host,
			port: Number(port),
			noDelay: true,
			allowHalfOpen: true
		})
		this.socket = socket
		const {connectTimeoutMs = defaultConnectTimeoutMs} = options
		const now = options.now ?? (() => performance.now())
		const connectDeadline = now() + connectTimeoutMs
		this.connectTimer = setTimeout(() => {
			this.settle(CallOutcome.NeverSent, "no connection in time")
		}, connectTimeoutMs)
		socket.once("connect", () => {
			// After a pause of this process, Node.js may report the connection
			// before the timer that expired meanwhile.
			if (now() > connectDeadline) {
				this.settle(CallOutcome.NeverSent, "connected too late")
				return
			}
			if (options.handlers.onConnected?.() === false) {
				this.settle(CallOutcome.NeverSent, "no longer permitted")
				return
			}
			if (!options.runs.tryAddCall()) {
				this.settle(CallOutcome.NeverSent, "caller was refused")
				return
			}
			this.isConnected = true
			clearTimeout(this.connectTimer)
		})
		const req = httpRequest({
			method: options.head.method,
			path: options.head.target,
			headers: options.headers,
			setHost: false,
			createConnection: () => socket
		})
		this.req = req
		req.on("error", err => {
			this.fail(err)
		})
		req.on("response", res => {
			this.receive(res)
		})
		// Without this listener, Node.js closes the connection and reports nothing.
		req.on("upgrade", () => {
			this.reject("connection was upgraded")
		})
		// After the parser's own listener, so that the body's bytes are counted.
		req.on("socket", () => {
			socket.on("data", () => {
				this.noteUnread()
				this.checkFraming(socket)
			})
		})
		req.on("information", () => {
			this.interimAnswers += 1
			if (this.interimAnswers > maxInterimAnswers)
				this.reject("interim answers without end")
		})
		socket.prependListener("end", () => {
			this.detectResetAtEnd(socket)
		})
		req.end(options.body)
	}

	/** Cancels the request at the endpoint by closing its connection. */
	abort(): void {
		this.settle(CallOutcome.Aborted, "given up")
	}

	/** Ends the call because what arrives is no usable answer. */
	reject(detail: string): void {
		this.wasRejected = true
		this.settle(CallOutcome.Broken, detail)
	}

	/** Stops reading the response; the endpoint may cut it off after some seconds. */
	pause(): void {
		this.res?.pause()
	}

	resume(): void {
		this.res?.resume()
	}

	/** Whether the gateway ended the call because of what arrived. */
	get isRejected(): boolean {
		return this.wasRejected
	}

	/** For log lines: who sent how much. */
	get sizeFields(): LogFields {
		const {address: peer} = this.options
		return {peer, readBytes: this.socket?.bytesRead ?? 0}
	}

	/** Whether the connection was established, so that the request may have run. */
	get wasSent(): boolean {
		return this.isConnected
	}

	private receive(res: IncomingMessage): void {
		this.res = res
		const {wire, head, handlers} = this.options
		const receivedHead = wire.decodeResponse(res, head.id)
		this.receivedHead = receivedHead
		this.tryHandle(() => handlers.onHead?.(receivedHead))
		res.on("error", err => {
			this.fail(err)
		})
		if (receivedHead.isNotRun) {
			res.resume()
			this.settle(CallOutcome.NotRun, `status ${receivedHead.status}`)
			return
		}
		if (!receivedHead.isOurs || !receivedHead.isSigned) {
			this.settle(CallOutcome.Broken, "not this endpoint's answer")
			return
		}
		res.on("data", (chunk: Buffer) => {
			this.bodyBytes += chunk.length
			this.pieces += 1
			this.noteUnread()
			this.tryHandle(() => {
				handlers.onData(chunk)
			})
		})
		res.on("end", () => {
			if (res.complete) this.settle(CallOutcome.Complete, "whole")
			else this.settle(CallOutcome.Broken, "answer cut")
		})
		res.on("close", () => {
			if (!res.complete) this.settle(CallOutcome.Broken, "answer cut")
		})
	}

	/** After a fault the rest of the answer is not passed on, since a part may be missing. */
	private tryHandle(handle: () => void): void {
		if (this.isSettled) return
		try {
			handle()
		} catch (err) {
			this.options.handlers.onFault(err)
			this.settle(CallOutcome.Broken, "internal fault")
		}
	}

	private noteUnread(): void {
		const bytes = this.res?.readableLength ?? 0
		if (this.isSettled || bytes === this.unreadBytes) return
		this.unreadBytes = bytes
		this.options.handlers.onUnread?.(bytes)
	}

	private checkFraming({bytesRead: readBytes}: Socket): void {
		const {res, pieces} = this
		const bodyBytes = this.bodyBytes + this.unreadBytes
		if (this.isSettled) return
		if (!hasExcessFraming({readBytes, bodyBytes, pieces})) return
		this.reject(res === undefined ? "head without end" : "framing without end")
	}

	/** A response that ends with its connection is complete unless that was reset. */
	private detectResetAtEnd(socket: Socket): void {
		if (this.isSettled || this.res === undefined) return
		if (isFramed(this.res.headers)) return
		const reset = findReset(socket)
		if (reset !== undefined) this.settle(CallOutcome.Broken, reset.message)
	}

	/**
	 * Bytes after a complete response also raise an error; it is ignored, since it
	 * does not affect the response.
	 */
	private fail(err: Error): void {
		if (this.res?.complete === true) return
		const outcome = this.isConnected
			? CallOutcome.Broken
			: CallOutcome.NeverSent
		this.settle(outcome, err.message)
	}

	private settle(outcome: CallOutcome, detail: string): void {
		if (this.isSettled) return
		this.isSettled = true
		clearTimeout(this.connectTimer)
		if (outcome === CallOutcome.NotRun) this.options.runs.removeCall()
		// Without a listener, a socket error after this point would be thrown.
		this.socket?.on("error", () => undefined)
		this.req?.destroy()
		this.socket?.destroy()
		this.options.handlers.onEnd(outcome, detail)
	}

	/** Status and headers of the response, once they arrived. */
	get responseHead(): ResponseHead | undefined {
		return this.receivedHead
	}
}
