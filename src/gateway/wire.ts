/**
 * What the gateway needs to know of a request and of an endpoint's answer. The
 * platform's header names are decoded behind this boundary.
 */
import type {IncomingMessage} from "node:http"
import type {PromptPart} from "../policy/grants/index.js"

export interface GenerationHead {
	model: string
	/** Empty for the base model itself. */
	adapter: string
	parts: readonly PromptPart[]
	promptTokens: number
	outputTokens: number
}

/** A caller's request without its body. */
export interface RequestHead {
	id: string
	method: string
	/** Path and query as the caller sent them. */
	target: string
	host: string
	path: string
	/** Header names and values in turn, without those of one connection. */
	headers: readonly string[]
	/** Time that the caller will wait; undefined when it doesn't say. */
	patienceMs: number | undefined
	generation: GenerationHead | undefined
}

/** What the gateway sets on a request to an endpoint. */
export interface SendOptions {
	endpointId: string
	/** Time left until the endpoint stops work, milliseconds. */
	leftMs: number
	bodyBytes: number
	/** Version of the adapter that must serve; 0 for any. */
	adapterVersion?: number
	priority?: number | undefined
	/** Event after which a generation goes on at another endpoint. */
	resumeAfter?: string | undefined
}

/** The head of an endpoint's answer. */
export interface AnswerHead {
	status: number
	/** Whether it answers the request that was sent. */
	isOurs: boolean
	/** Whether the endpoint vouches for it. */
	isSigned: boolean
	/** Whether the endpoint states that the request has not run. */
	isNotRun: boolean
	/** Whether another endpoint has the address. */
	isMisdirected: boolean
	load: EndpointLoad | undefined
	/** Header names and values in turn, without those of one connection. */
	headers: readonly string[]
}

const firstServerFailure = 500

/** Whether the endpoint itself failed, as opposed to the request. */
export function isServerFailure({status}: AnswerHead): boolean {
	return status >= firstServerFailure
}

export interface EndpointLoad {
	running: number
	waiting: number
	seats: number
}

/** A request that must be answered with a failure of the gateway's own. */
export class RejectedRequestError extends Error {
	constructor(
		readonly status: number,
		message: string
	) {
		super(message)
		this.name = "RejectedRequestError"
	}
}

export abstract class Wire {
	/** Throws `RejectedRequestError` for a request that is malformed. */
	abstract decodeRequest(req: IncomingMessage): RequestHead

	abstract encodeRequest(head: RequestHead, options: SendOptions): string[]

	abstract decodeAnswer(res: IncomingMessage, requestId: string): AnswerHead

	/** Headers that tell a caller when to come back after a refusal. */
	abstract encodeRefusal(retryAfterMs: number): Record<string, string>
}
