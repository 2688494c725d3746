/**
 * The parts of a caller's request and of an endpoint's response that the gateway
 * uses. A subclass of `WireCodec` translates them from and to HTTP headers, so
 * that the gateway does not depend on the platform's header names.
 */
import type {IncomingMessage} from "node:http"
import type {PromptPart} from "../policy/grants/index.js"

/** Model, adapter and estimated size of a generation request. */
export interface GenerationHead {
	model: string
	/** Empty for the base model itself. */
	adapter: string
	parts: readonly PromptPart[]
	promptTokens: number
	/** Longest answer that the caller takes; 0 if it states none. */
	outputTokens: number
	/** The caller's estimate of the answer's length; right at the median at best. */
	lengthHint: number | undefined
}

/**
 * Ids of the parts of a prompt that other requests may have as well: all but the
 * last, which belongs to the request or its session.
 */
export function listSharedParts({parts}: GenerationHead): string[] {
	return [...new Set(parts.slice(0, -1).map(({id}) => id))]
}

/** What a caller states when it resumes a stream with a new request. */
export interface Resumption {
	/**
	 * Id of the caller's request that delivered the stream's first event; empty if
	 * the caller doesn't state it.
	 */
	originId: string
	/** Id of the last event that the caller received. */
	lastEventId: string
}

/** A caller's request without its body. */
export interface RequestHead {
	id: string
	method: string
	/** Path and query as the caller sent them. */
	target: string
	host: string
	path: string
	/** Alternating header names and values, without hop-by-hop headers. */
	headers: readonly string[]
	/** Caller's timeout in milliseconds; undefined when the request states none. */
	patienceMs: number | undefined
	generation: GenerationHead | undefined
	/** Sum of the tokens that the request states; undefined if it states none. */
	statedTokens: number | undefined
	/** Set if the caller resumes a stream. */
	resumption: Resumption | undefined
	/**
	 * Key by which the caller identifies its Member; undefined if it states none. Must
	 * not be logged or forwarded, so it is not in `headers`.
	 */
	credential: string | undefined
}

/** Values that the gateway encodes into the headers of a forwarded request. */
export interface ForwardOptions {
	endpointId: string
	/** Time left until the endpoint must stop working on it, milliseconds. */
	leftMs: number
	bodyBytes: number
	/** Adapter version that the endpoint must serve with; 0 for any. */
	adapterVersion?: number
	priority?: number | undefined
	/** Name of the caller's Member; undefined for none. */
	memberName?: string | undefined
	/** Id of the last event delivered, when this endpoint resumes a generation. */
	resumeAfter?: string | undefined
}

/** Status and headers of an endpoint's response, decoded. */
export interface ResponseHead {
	status: number
	/** Whether it carries the id of the request that was sent. */
	isOurs: boolean
	/**
	 * Whether it bears the stamp that an endpoint puts on its own responses; the
	 * value is not verified.
	 */
	isSigned: boolean
	/** Whether the endpoint states that it did not run the request. */
	isNotRun: boolean
	/**
	 * Whether the endpoint rejected the request as misdirected: another endpoint has
	 * the address, or the engine does not hold the expected adapter version.
	 */
	isMisdirected: boolean
	/** Whether its body can be a stream of events, by the type that it states. */
	isEventStream: boolean
	load: EndpointLoad | undefined
	/** Whether the endpoint states that it is leaving. */
	isLeaving: boolean
	/**
	 * With a rejection, for how long the endpoint wants no requests, milliseconds;
	 * NaN if it states a time that can't be decoded.
	 */
	pauseMs: number | undefined
	/**
	 * Requests a second that the endpoint takes from all hosts together; undefined if
	 * it states no limit, NaN if what it states is no limit.
	 */
	requestsPerSecond: number | undefined
	/** Alternating header names and values, without hop-by-hop headers. */
	headers: readonly string[]
}

const minServerErrorStatus = 500

/** Whether the endpoint failed (5xx) rather than rejected the request. */
export function isServerError({status}: ResponseHead): boolean {
	return status >= minServerErrorStatus
}

export interface EndpointLoad {
	running: number
	waiting: number
	seats: number
	/** How long work takes there now, 1 as usual; undefined if not stated. */
	pace: number | undefined
}

/** A malformed request; the gateway itself responds with this status and text. */
export class RejectedRequestError extends Error {
	constructor(
		readonly status: number,
		message: string
	) {
		super(message)
		this.name = "RejectedRequestError"
	}
}

export abstract class WireCodec {
	/** Throws `RejectedRequestError` when the request is malformed. */
	abstract decodeRequest(req: IncomingMessage): RequestHead

	/** Returns alternating header names and values for the endpoint. */
	abstract encodeRequest(head: RequestHead, options: ForwardOptions): string[]

	abstract decodeResponse(res: IncomingMessage, requestId: string): ResponseHead

	/** Headers that tell a refused caller when to retry. */
	abstract encodeRefusal(retryAfterMs: number): Record<string, string>
}
