/**
 * Parses and checks callers' requests. A `BadRequestError` names the invalid
 * field and the reason.
 */
import type {IncomingHttpHeaders, IncomingMessage} from "node:http"
import {ulid} from "ulid"
import {z} from "zod"
import {type Route, KeyRule} from "../contract/config/index.js"
import {BadRequestError} from "../contract/errors.js"
import {parseModelName} from "../contract/names.js"

/** The headers that all requests have in common, parsed. */
export interface Envelope {
	member: string
	requestId: string
	/** In epoch milliseconds. */
	deadline: number
	idempotencyKey: string
	/** True when the caller states that it has not used this key before. */
	isFirstAttempt: boolean
	routeName: string
}

export interface CompletionBody {
	model: string
	prompt: string
	maxTokens: number
	isStream: boolean
	isChat: boolean
}

export const maxBodyBytes = 1024 * 1024
const maxKeyLength = 255
const maxTokensLimit = 32_768
const defaultMaxTokens = 256
/** The resume offset is sent to endpoint processes in a 32-bit field. */
const maxOffset = 0xffff_ffff
const payloadTooLarge = 413
const requestIdPattern = /^[A-Za-z0-9_-]{1,64}$/
const idempotencyKeyPattern = /^[\x21-\x7e]+$/
/** At most 15 digits, so that every match is a safe integer. */
const digitsPattern = /^\d{1,15}$/

const completionSchema = z.object({
	model: z.string("expected base:adapter@version"),
	prompt: z.string("expected text"),
	max_tokens: z.int().min(1).max(maxTokensLimit).default(defaultMaxTokens),
	stream: z.boolean().default(false)
})

const chatSchema = z.object({
	model: z.string("expected base:adapter@version"),
	messages: z
		.array(
			z.object({
				role: z.enum(["system", "user", "assistant"]),
				content: z.string("expected text")
			})
		)
		.min(1),
	max_tokens: z.int().min(1).max(maxTokensLimit).optional(),
	max_completion_tokens: z.int().min(1).max(maxTokensLimit).optional(),
	stream: z.boolean().default(false)
})

/**
 * Reads a body of up to `maxBodyBytes`. The rest of a larger body is read and
 * discarded, so that the connection remains usable for the error response and
 * for further requests.
 */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
	const chunks: Buffer[] = []
	let size = 0
	for await (const chunk of req.iterator({destroyOnReturn: false})) {
		const bytes = chunk as Buffer
		size += bytes.length
		if (size > maxBodyBytes) break
		chunks.push(bytes)
	}
	if (size <= maxBodyBytes) return Buffer.concat(chunks)
	req.resume()
	const reason = `larger than ${maxBodyBytes} bytes`
	throw new BadRequestError("body", reason, payloadTooLarge)
}

export function parseEnvelope(
	headers: IncomingHttpHeaders,
	member: string,
	now: number
): Envelope {
	return {
		member,
		requestId: parseRequestId(headers),
		deadline: parseDeadline(headers, now),
		idempotencyKey: parseIdempotencyKey(headers),
		isFirstAttempt: readHeader(headers, "x-first-attempt") === "true",
		routeName: readHeader(headers, "x-route")
	}
}

export function parseCompletion(body: Buffer): CompletionBody {
	const raw = validate(completionSchema, parseJson(body))
	validateModel(raw.model)
	return {
		model: raw.model,
		prompt: raw.prompt,
		maxTokens: raw.max_tokens,
		isStream: raw.stream,
		isChat: false
	}
}

export function parseChat(body: Buffer): CompletionBody {
	const raw = validate(chatSchema, parseJson(body))
	validateModel(raw.model)
	const lines = raw.messages.map(({role, content}) => `${role}: ${content}`)
	return {
		model: raw.model,
		prompt: `${lines.join("\n")}\nassistant:`,
		maxTokens: raw.max_completion_tokens ?? raw.max_tokens ?? defaultMaxTokens,
		isStream: raw.stream,
		isChat: true
	}
}

/** Checks a request against its route's rules. */
export function checkRouteRules(
	route: Route,
	envelope: Envelope,
	now: number
): void {
	if (envelope.deadline > now + route.maxDeadlineMs) {
		throw new BadRequestError(
			"x-deadline",
			`route ${route.name} takes deadlines up to ${route.maxDeadlineMs} ms ahead`
		)
	}
	const hasKey = envelope.idempotencyKey !== ""
	if (route.key === KeyRule.Required && !hasKey) {
		throw new BadRequestError(
			"idempotency-key",
			`route ${route.name} requires a key`
		)
	}
}

/** Parses a character offset of a query string; 0 when absent. */
export function parseOffset(text: unknown): number {
	if (text === undefined) return 0
	const isCount = typeof text === "string" && digitsPattern.test(text)
	const offset = isCount ? Number(text) : Infinity
	if (offset <= maxOffset) return offset
	throw new BadRequestError("offset", "expected a count of characters")
}

function parseRequestId(headers: IncomingHttpHeaders): string {
	const id = readHeader(headers, "x-request-id")
	if (id === "") return ulid()
	if (requestIdPattern.test(id)) return id
	throw new BadRequestError(
		"x-request-id",
		"expected 1 to 64 letters, digits, '_' or '-'"
	)
}

/**
 * Reads the deadline from `x-deadline`, which is an absolute time. Simple
 * clients can send `x-timeout-ms` instead, which is relative to `now`. If both
 * are sent, `x-deadline` is used.
 */
function parseDeadline(headers: IncomingHttpHeaders, now: number): number {
	const absolute = readHeader(headers, "x-deadline")
	const relative = readHeader(headers, "x-timeout-ms")
	if (absolute === "" && relative === "") {
		throw new BadRequestError(
			"x-deadline",
			"expected epoch milliseconds or an RFC 3339 time, or x-timeout-ms"
		)
	}
	const deadline =
		absolute === "" ? parseTimeout(relative, now) : parseTime(absolute)
	if (deadline > now) return deadline
	const field = absolute === "" ? "x-timeout-ms" : "x-deadline"
	throw new BadRequestError(field, "the deadline has passed already")
}

function parseTimeout(text: string, now: number): number {
	if (digitsPattern.test(text)) return now + Number(text)
	throw new BadRequestError("x-timeout-ms", "expected milliseconds")
}

function parseTime(text: string): number {
	const time = digitsPattern.test(text) ? Number(text) : Date.parse(text)
	if (Number.isFinite(time)) return time
	throw new BadRequestError(
		"x-deadline",
		"expected epoch milliseconds or an RFC 3339 time"
	)
}

function parseIdempotencyKey(headers: IncomingHttpHeaders): string {
	const key = readHeader(headers, "idempotency-key")
	if (key === "") return ""
	if (key.length > maxKeyLength) {
		throw new BadRequestError(
			"idempotency-key",
			`longer than ${maxKeyLength} characters`
		)
	}
	if (idempotencyKeyPattern.test(key)) return key
	throw new BadRequestError(
		"idempotency-key",
		"expected one key of printable ASCII characters without spaces"
	)
}

/**
 * Returns a header's value, empty when absent. A header that was sent twice
 * arrives as one value joined by ", ", and is refused.
 */
function readHeader(headers: IncomingHttpHeaders, name: string): string {
	const value = headers[name]
	if (value === undefined) return ""
	if (typeof value === "string" && !value.includes(", ")) return value.trim()
	throw new BadRequestError(name, "given more than once")
}

function validateModel(model: string): void {
	if (parseModelName(model) !== undefined) return
	throw new BadRequestError("model", "expected base:adapter@version")
}

function parseJson(body: Buffer): unknown {
	try {
		return JSON.parse(body.toString("utf8"))
	} catch (err) {
		const reason = err instanceof Error ? err.message : "not JSON"
		throw new BadRequestError("body", `malformed JSON: ${reason}`)
	}
}

function validate<T>(schema: z.ZodType<T>, raw: unknown): T {
	const result = schema.safeParse(raw)
	if (result.success) return result.data
	const [issue] = result.error.issues
	const field = issue?.path.map(String).join(".") ?? ""
	const reason = issue?.message ?? "malformed"
	throw new BadRequestError(field === "" ? "body" : field, reason)
}
