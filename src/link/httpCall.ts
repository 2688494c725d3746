/** Sends one HTTP request with an optional body and a timeout. */
import {
	type Agent,
	type IncomingHttpHeaders,
	type IncomingMessage,
	request as httpRequest
} from "node:http"
import type {AnswerAccount} from "../policy/buffers/index.js"
import {
	AnswerTooLargeError,
	CollectedBody,
	limitBytesRead
} from "./answerBytes.js"
import type {AnswerMemory} from "./answerMemory.js"
import {CallDeadline} from "./callDeadline.js"
import {findReset, isFramed} from "./connectionEnd.js"
import {findHeadDefect} from "./responseHead.js"

export interface HttpCallOptions {
	/** `host:port`. */
	address: string
	agent: Agent
	method: string
	path: string
	headers?: Record<string, string>
	/**
	 * Sent with the request. A response that echoes another id, such as a second one
	 * to an earlier request, is an error.
	 */
	requestId?: string
	/** Serialized as JSON; no body when undefined. */
	body?: unknown
	/** Body as it is sent, in place of `body`. */
	payload?: Uint8Array | undefined
	/** Limit for the whole call, until the last byte of the response. */
	timeoutMs: number
	/**
	 * Limits for a body that may take long to arrive. With them, `timeoutMs` ends with
	 * the head of the response.
	 */
	bodyLimits?: BodyLimits
	/** Limit for all bytes of the response, head and framing included. */
	maxBytes?: number
	/** For a response whose memory counts together with that of others. */
	share?: AnswerShare
}

export interface AnswerShare {
	memory: AnswerMemory
	/** The caller closes it when it no longer holds the body. */
	account: AnswerAccount
}

/** Many times what a peer states about itself. */
export const defaultMaxAnswerBytes = 1024 * 1024

export interface BodyLimits {
	/** For the wait for each part of the body. */
	stallMs: number
	/** For the whole body. */
	totalMs: number
}

export interface HttpResponse {
	status: number
	headers: IncomingHttpHeaders
	body: Buffer
}

/**
 * Resolves with the complete response, whatever its status. Rejects when its head is
 * not valid or it does not arrive within the limits, and then destroys the connection
 * so that no other call reuses it; the error is an AnswerTooLargeError if the response
 * has too many bytes.
 */
export function callHttp(options: HttpCallOptions): Promise<HttpResponse> {
	const {address, agent, method, path, timeoutMs, bodyLimits} = options
	const {maxBytes = defaultMaxAnswerBytes, share} = options
	const [host, port] = address.split(":")
	const payload = encodePayload(options)
	const headers = {...options.headers}
	if (options.requestId !== undefined)
		headers["X-Request-Id"] = options.requestId
	if (payload !== undefined)
		headers["Content-Length"] = String(payload.byteLength)
	if (options.body !== undefined) headers["Content-Type"] = "application/json"
	return new Promise((resolve, reject) => {
		const req = httpRequest({host, port, method, path, headers, agent})
		let isWaiting = false
		const deadline = new CallDeadline(() => {
			const reason = isWaiting
				? "other responses held the memory until the timeout"
				: "no complete response within the timeout"
			end(new Error(reason))
		})
		deadline.set(performance.now() + timeoutMs)
		let received: IncomingMessage | undefined
		let stopCounting: (() => unknown) | undefined
		const failIfReset = (): void => {
			if (received === undefined || isFramed(received.headers)) return
			const reset = findReset(req.socket ?? received.socket)
			if (reset !== undefined) fail(reset)
		}
		const finish = (): void => {
			deadline.end()
			stopCounting?.()
			share?.memory.stopWaiting(share.account)
			req.socket?.removeListener("end", failIfReset)
		}
		const fail = (err: Error): void => {
			finish()
			reject(err)
		}
		// A request whose connection is gone already emits no error when it is destroyed.
		const end = (err: Error): void => {
			fail(err)
			req.destroy(err)
		}
		const endTooLarge = (bytes: number): void => {
			end(new AnswerTooLargeError(address, bytes, maxBytes))
		}
		req.on("socket", socket => {
			socket.prependListener("end", failIfReset)
			stopCounting = limitBytesRead(socket, maxBytes, endTooLarge)
		})
		req.on("error", fail)
		// Without this listener, Node.js closes the connection and reports nothing.
		req.on("upgrade", (_res, socket) => {
			fail(new Error("connection was upgraded"))
			// It has no listener any more, and an error of it would be thrown.
			socket.on("error", () => undefined)
			socket.destroy()
		})
		req.on("response", res => {
			received = res
			const echoedId = res.headers["x-request-id"]
			if (echoedId !== undefined && echoedId !== options.requestId) {
				req.destroy(new Error("response to another request"))
				return
			}
			const defect = findHeadDefect(res)
			if (defect !== undefined) {
				end(new Error(defect))
				return
			}
			const statedBytes = Number(res.headers["content-length"] ?? 0)
			if (statedBytes > maxBytes) {
				endTooLarge(statedBytes)
				return
			}
			const body = new CollectedBody()
			const bodyDeadline = performance.now() + (bodyLimits?.totalMs ?? 0)
			const awaitPart = (): void => {
				if (bodyLimits === undefined) return
				const partDeadline = performance.now() + bodyLimits.stallMs
				deadline.set(Math.min(partDeadline, bodyDeadline))
			}
			const awaitTurn = ({memory, account}: AnswerShare): void => {
				isWaiting = true
				res.pause()
				if (bodyLimits !== undefined) deadline.set(bodyDeadline)
				memory.awaitTurn(account, () => {
					isWaiting = false
					awaitPart()
					res.resume()
				})
			}
			awaitPart()
			res.on("data", (part: Buffer) => {
				const added = body.add(part)
				awaitPart()
				if (share === undefined) return
				share.memory.add(share.account, added)
				if (!share.memory.mayGrow(share.account)) awaitTurn(share)
			})
			res.on("error", fail)
			res.on("end", () => {
				finish()
				const status = res.statusCode ?? 0
				resolve({status, headers: res.headers, body: body.take()})
			})
		})
		req.end(payload)
	})
}

function encodePayload({
	body,
	payload
}: HttpCallOptions): Uint8Array | undefined {
	if (payload !== undefined) return payload
	return body === undefined ? undefined : Buffer.from(JSON.stringify(body))
}
