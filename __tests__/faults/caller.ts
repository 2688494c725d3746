/** Caller of the fault tests: sends requests and classifies the results. */
import {request} from "undici"
import {readEvents} from "../../src/link/sse.js"
import {messageOf} from "../../src/utils/common.js"
import {expectedText} from "../../standins/index.js"

/** Result of a request from the caller's point of view. */
export enum RequestEnd {
	Complete = "whole",
	NotRun = "not_run",
	Unknown = "unknown",
	Rejected = "rejected",
	/** The connection failed, or a stream ended without its final event. */
	Cut = "cut"
}

export interface CallResult {
	end: RequestEnd
	status: number
	headers: Record<string, string>
	body: string
	reason: string
}

export interface StreamResult {
	end: RequestEnd
	status: number
	text: string
	streamId: string
	hostId: string
	reason: string
}

export interface CallOptions {
	member?: string
	key?: string
	timeoutMs?: number
	requestId?: string
}

const defaultTimeoutMs = 30_000
const successStatuses = new Set([200, 201, 202])

export function createHeaders({
	member = "club-1",
	key,
	timeoutMs = defaultTimeoutMs,
	requestId
}: CallOptions): Record<string, string> {
	return {
		"content-type": "application/json",
		"x-member": member,
		"x-timeout-ms": String(timeoutMs),
		...(key === undefined ? {} : {"idempotency-key": key}),
		...(requestId === undefined ? {} : {"x-request-id": requestId})
	}
}

export function bookOrder(
	entryUrl: string,
	order: string,
	options: CallOptions
): Promise<CallResult> {
	const body = JSON.stringify({order, slot: "s-1"})
	return sendCall("POST", `${entryUrl}/v1/services/bookings`, body, options)
}

export function readStatus(
	entryUrl: string,
	order: string,
	options: CallOptions = {}
): Promise<CallResult> {
	const url = `${entryUrl}/v1/services/orders/${order}`
	return sendCall("GET", url, null, options)
}

export async function sendCall(
	method: "GET" | "POST",
	url: string,
	body: string | null,
	options: CallOptions
): Promise<CallResult> {
	try {
		const res = await request(url, {
			method,
			body,
			headers: createHeaders(options)
		})
		const text = await res.body.text()
		const {end, reason} = classifyResponse(res.statusCode, text)
		const headers = flattenHeaders(res.headers)
		return {end, status: res.statusCode, headers, body: text, reason}
	} catch (err) {
		const reason = messageOf(err)
		return {end: RequestEnd.Cut, status: 0, headers: {}, body: "", reason}
	}
}

export interface DraftOptions extends CallOptions {
	adapter?: string
	version?: string
	prompt?: string
	maxTokens?: number
	/** Called with all text received so far whenever more arrives. */
	onText?: (text: string, hostId: string) => void
	signal?: AbortSignal
}

/** Requests a completion and reads its event stream to the end. */
export async function streamDraft(
	entryUrl: string,
	options: DraftOptions
): Promise<StreamResult> {
	const {prompt = "a mirror", maxTokens = 40} = options
	const body = JSON.stringify({
		model: formatModel(options),
		prompt,
		max_tokens: maxTokens,
		stream: true
	})
	const url = `${entryUrl}/v1/completions`
	return readStream("POST", url, body, options)
}

/** Resumes a stream after its first `offset` characters. */
export function resumeStream(
	entryUrl: string,
	streamId: string,
	offset: number,
	options: DraftOptions
): Promise<StreamResult> {
	const id = encodeURIComponent(streamId)
	const url = `${entryUrl}/v1/streams/${id}?offset=${offset}`
	return readStream("GET", url, null, options)
}

/** Computes the text that the engine stand-ins generate for a draft. */
export function computeExpectedText(options: DraftOptions): string {
	const {adapter = "a-0", version = "v1"} = options
	const {prompt = "a mirror", maxTokens = 40} = options
	return expectedText(`weights/${adapter}/${version}`, prompt, maxTokens)
}

function formatModel({adapter = "a-0", version = "v1"}: DraftOptions): string {
	return `loom:${adapter}@${version}`
}

async function readStream(
	method: "GET" | "POST",
	url: string,
	body: string | null,
	options: DraftOptions
): Promise<StreamResult> {
	const result: StreamResult = {
		end: RequestEnd.Cut,
		status: 0,
		text: "",
		streamId: "",
		hostId: "",
		reason: ""
	}
	try {
		const res = await request(url, {
			method,
			body,
			headers: {...createHeaders(options), "x-model": formatModel(options)},
			signal: options.signal ?? null
		})
		result.status = res.statusCode
		result.streamId = flattenHeaders(res.headers)["x-stream-id"] ?? ""
		if (!successStatuses.has(res.statusCode)) {
			Object.assign(
				result,
				classifyResponse(res.statusCode, await res.body.text())
			)
			return result
		}
		for await (const data of readEvents(res.body)) {
			applyEvent(result, data, options)
		}
	} catch (err) {
		result.reason ||= messageOf(err)
	}
	return result
}

interface StreamEvent {
	choices?: {text?: string}[]
	goldcrestloom?: {host?: string}
	error?: {outcome?: string; reason?: string; message?: string}
}

function applyEvent(
	result: StreamResult,
	data: string,
	{onText}: DraftOptions
): void {
	if (data === "[DONE]") {
		result.end = RequestEnd.Complete
		return
	}
	const event = JSON.parse(data) as StreamEvent
	if (event.error !== undefined) {
		result.end = RequestEnd.Unknown
		result.reason = event.error.message ?? ""
		return
	}
	result.hostId = event.goldcrestloom?.host ?? result.hostId
	const text = event.choices?.[0]?.text ?? ""
	if (text === "") return
	result.text += text
	onText?.(result.text, result.hostId)
}

function classifyResponse(
	status: number,
	body: string
): {end: RequestEnd; reason: string} {
	if (successStatuses.has(status)) return {end: RequestEnd.Complete, reason: ""}
	const {error} = JSON.parse(body) as {
		error: {
			outcome: RequestEnd
			reason?: string
			message?: string
			field?: string
		}
	}
	const reason = error.reason ?? error.field ?? error.message ?? ""
	return {end: error.outcome, reason}
}

function flattenHeaders(
	headers: Record<string, string | string[] | undefined>
): Record<string, string> {
	const pairs = Object.entries(headers).flatMap(([name, value]) =>
		typeof value === "string" ? [[name, value] as const] : []
	)
	return Object.fromEntries(pairs)
}
