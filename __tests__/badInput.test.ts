/**
 * Sends invalid requests to a running entry. Each must be answered with a typed
 * error that names the field and the reason, and must not reach a service or an
 * engine.
 */
import {connect} from "node:net"
import {afterAll, beforeAll, expect, test} from "vitest"
import {Agent, request} from "undici"
import {maxBodyBytes} from "../src/entry/parseRequest.js"
import {TestBed} from "./faults/testBed.js"

const maxKeyLength = 255
const excessiveTimeoutMs = 24 * 3_600_000
const validModel = "loom:a-0@v1"

let bed: TestBed
let entry = ""
let runsBefore = 0

interface RequestOverrides {
	method?: "GET" | "POST" | "PUT" | "DELETE"
	path?: string
	/** Replaces headers of a valid request; undefined removes the header. */
	headers?: Record<string, string | undefined>
	body?: string | Buffer | null
}

interface Reply {
	status: number
	allow: string
	contentType: string
	error: {
		type?: string
		outcome?: string
		field?: string
		message?: string
		reason?: string
	}
}

/** An invalid request and the error that it must get. */
interface BadInput extends RequestOverrides {
	input: string
	status: number
	field: string
	/** Text that the error message contains. */
	reason: string
	/** Value of the `Allow` header; empty when there must be none. */
	allow?: string
}

beforeAll(async () => {
	bed = await TestBed.start()
	;[entry = ""] = bed.deployment.entryUrls
	runsBefore = await countRuns()
})

afterAll(async () => {
	await bed.stop()
})

/** Counts the calls and generations that ran on all services and engines. */
async function countRuns(): Promise<number> {
	const services = await bed.readServiceTruths()
	const engines = await bed.readEngineTruths()
	const bookings = services.map(({runs}) => runs)
	const drafts = engines.map(({runsById}) => Object.keys(runsById).length)
	return [...bookings, ...drafts].reduce((sum, count) => sum + count, 0)
}

/** Sends a valid booking request in which `overrides` replace some parts. */
async function sendWithOverrides(overrides: RequestOverrides): Promise<Reply> {
	const {
		method = "POST",
		path = bookingRequest.path,
		body = bookingRequest.body
	} = overrides
	const res = await request(entry + path, {
		method,
		body,
		headers: mergeHeaders(overrides.headers)
	})
	const text = await res.body.text()
	const contentType = String(res.headers["content-type"])
	const allow = String(res.headers.allow ?? "")
	const {error} = JSON.parse(text) as {error: Reply["error"]}
	return {status: res.statusCode, contentType, allow, error}
}

function mergeHeaders(
	changes: RequestOverrides["headers"] = {}
): Record<string, string> {
	const headers: Record<string, string | undefined> = {
		"content-type": "application/json",
		"x-member": "club-1",
		"x-timeout-ms": "20000",
		"idempotency-key": "bad-input",
		...changes
	}
	return Object.fromEntries(
		Object.entries(headers).filter(
			(pair): pair is [string, string] => pair[1] !== undefined
		)
	)
}

const bookingRequest = {
	path: "/v1/services/bookings",
	body: JSON.stringify({order: "bad-input", slot: "s-1"})
}
const completionsPath = "/v1/completions"
const chatPath = "/v1/chat/completions"

function createCompletionBody(changes: object = {}): string {
	return JSON.stringify({model: validModel, prompt: "a mirror", ...changes})
}

const headerAndSizeCases: BadInput[] = [
	{
		input: "a missing Member",
		headers: {"x-member": undefined},
		status: 400,
		field: "x-member",
		reason: "expected 1 to 64"
	},
	{
		input: "a Member with disallowed characters",
		headers: {"x-member": "club 1/../2"},
		status: 400,
		field: "x-member",
		reason: "expected 1 to 64"
	},
	{
		input: "a Member of 65 characters",
		headers: {"x-member": "m".repeat(65)},
		status: 400,
		field: "x-member",
		reason: "expected 1 to 64"
	},
	{
		input: "a missing deadline",
		headers: {"x-timeout-ms": undefined},
		status: 400,
		field: "x-deadline",
		reason: "expected epoch milliseconds"
	},
	{
		input: "a deadline in the past",
		headers: {"x-deadline": "1000"},
		status: 400,
		field: "x-deadline",
		reason: "has passed"
	},
	{
		input: "a deadline in the past as a date",
		headers: {"x-deadline": "2001-01-01T00:00:00Z"},
		status: 400,
		field: "x-deadline",
		reason: "has passed"
	},
	{
		input: "a timeout of 0 ms",
		headers: {"x-timeout-ms": "0"},
		status: 400,
		field: "x-timeout-ms",
		reason: "has passed"
	},
	{
		input: "a deadline that is not a time",
		headers: {"x-deadline": "soon"},
		status: 400,
		field: "x-deadline",
		reason: "expected epoch milliseconds"
	},
	{
		input: "a negative timeout",
		headers: {"x-timeout-ms": "-5"},
		status: 400,
		field: "x-timeout-ms",
		reason: "expected milliseconds"
	},
	{
		input: "a deadline beyond the route's limit",
		headers: {"x-timeout-ms": String(excessiveTimeoutMs)},
		status: 400,
		field: "x-deadline",
		reason: "route bookings takes deadlines up to 60000 ms ahead"
	},
	{
		input: "a missing idempotency key on a route that requires one",
		headers: {"idempotency-key": undefined},
		status: 400,
		field: "idempotency-key",
		reason: "route bookings requires a key"
	},
	{
		input: "an idempotency key above the length limit",
		headers: {"idempotency-key": "k".repeat(maxKeyLength + 1)},
		status: 400,
		field: "idempotency-key",
		reason: "longer than 255"
	},
	{
		input: "an idempotency key with a space",
		headers: {"idempotency-key": "k 1"},
		status: 400,
		field: "idempotency-key",
		reason: "printable ASCII"
	},
	{
		input: "a request id with a space",
		headers: {"x-request-id": "id 1"},
		status: 400,
		field: "x-request-id",
		reason: "expected 1 to 64"
	},
	{
		input: "a request id of 65 characters",
		headers: {"x-request-id": "i".repeat(65)},
		status: 400,
		field: "x-request-id",
		reason: "expected 1 to 64"
	},
	{
		input: "a body one byte above the size limit",
		body: Buffer.alloc(maxBodyBytes + 1, " "),
		status: 413,
		field: "body",
		reason: `larger than ${maxBodyBytes} bytes`
	},
	{
		input: "a body of 16 times the size limit",
		body: Buffer.alloc(16 * maxBodyBytes, " "),
		status: 413,
		field: "body",
		reason: `larger than ${maxBodyBytes} bytes`
	}
]

const completionCases: BadInput[] = [
	["an unknown adapter", {model: "loom:nobody@v1"}, 404, "model"],
	["an unknown adapter version", {model: "loom:a-0@v9"}, 404, "model"],
	["an unknown base model", {model: "other:a-0@v1"}, 404, "model"],
	["a model without a version", {model: "loom:a-0"}, 400, "model"],
	["a model that is a number", {model: 7}, 400, "model"],
	["a missing model", {model: undefined}, 400, "model"],
	["a missing prompt", {prompt: undefined}, 400, "prompt"],
	["a prompt that is an object", {prompt: {}}, 400, "prompt"],
	["a max_tokens that is a string", {max_tokens: "9"}, 400, "max_tokens"],
	["a max_tokens of 0", {max_tokens: 0}, 400, "max_tokens"],
	["a max_tokens above the limit", {max_tokens: 1e9}, 400, "max_tokens"],
	["a fractional max_tokens", {max_tokens: 1.5}, 400, "max_tokens"],
	["a stream flag that is a string", {stream: "yes"}, 400, "stream"]
].map(([input, changes, status, field]) => ({
	input: input as string,
	path: completionsPath,
	body: createCompletionBody(changes as object),
	status: status as number,
	field: field as string,
	reason: ""
}))

const bodyCases: BadInput[] = [
	{
		input: "a body that is not JSON",
		path: completionsPath,
		body: "{",
		status: 400,
		field: "body",
		reason: "malformed JSON"
	},
	{
		input: "an empty body",
		path: completionsPath,
		body: null,
		status: 400,
		field: "body",
		reason: "malformed JSON"
	},
	{
		input: "a body that is a JSON array",
		path: completionsPath,
		body: "[]",
		status: 400,
		field: "body",
		reason: "expected object"
	},
	{
		input: "a chat request without messages",
		path: chatPath,
		body: JSON.stringify({model: validModel, messages: []}),
		status: 400,
		field: "messages",
		reason: ""
	},
	{
		input: "a chat message with an unknown role",
		path: chatPath,
		body: JSON.stringify({
			model: validModel,
			messages: [{role: "wizard", content: "x"}]
		}),
		status: 400,
		field: "messages.0.role",
		reason: ""
	},
	{
		input: "an unknown generation route",
		path: completionsPath,
		headers: {"x-route": "nothing"},
		body: createCompletionBody(),
		status: 404,
		field: "x-route",
		reason: 'no generation route is named "nothing"'
	}
]

const routeCases: BadInput[] = [
	{
		input: "an unknown service path",
		path: "/v1/services/cancellations",
		status: 404,
		field: "path",
		reason: "no route takes POST /cancellations"
	},
	{
		input: "an unsupported method on a service path",
		method: "PUT",
		status: 405,
		field: "method",
		reason: "/bookings takes POST, not PUT",
		allow: "POST"
	},
	{
		input: "an unknown path",
		path: "/v2/completions",
		status: 404,
		field: "path",
		reason: "POST /v2/completions"
	},
	{
		input: "an unsupported method on /v1/completions",
		method: "DELETE",
		path: completionsPath,
		status: 405,
		field: "method",
		reason: "/v1/completions takes POST, not DELETE",
		allow: "POST"
	},
	{
		input: "an unsupported method on a stream",
		path: "/v1/streams/h~id?offset=0",
		status: 405,
		field: "method",
		reason: "takes GET, not POST",
		allow: "GET"
	},
	{
		input: "a ticket request for an unknown route",
		path: "/v1/tickets/nothing",
		status: 404,
		field: "route",
		reason: "not idempotent"
	},
	{
		input: "a ticket request for an idempotent route",
		path: "/v1/tickets/order-status",
		status: 404,
		field: "route",
		reason: "not idempotent"
	},
	{
		input: "a stream offset that is not a number",
		method: "GET",
		path: "/v1/streams/h~id?offset=x",
		headers: {"x-model": validModel},
		body: null,
		status: 400,
		field: "offset",
		reason: "expected a count"
	},
	{
		input: "a stream offset above 2^32 - 1",
		method: "GET",
		path: "/v1/streams/h~id?offset=4294967296",
		headers: {"x-model": validModel},
		body: null,
		status: 400,
		field: "offset",
		reason: "expected a count"
	},
	{
		input: "a stream request without x-model",
		method: "GET",
		path: "/v1/streams/h~id?offset=0",
		body: null,
		status: 400,
		field: "x-model",
		reason: "expected base:adapter@version"
	}
]

const cases = [
	...headerAndSizeCases,
	...completionCases,
	...bodyCases,
	...routeCases
]

test.each(cases)(
	"rejects $input",
	async ({input, status, field, reason, allow = "", ...overrides}) => {
		const reply = await sendWithOverrides(overrides)
		expect(reply, input).toMatchObject({
			status,
			contentType: "application/json",
			allow,
			error: {type: "invalid_request", outcome: "rejected", field}
		})
		expect(reply.error.message).toContain(reason)
		expect(await countRuns()).toBe(runsBefore)
	}
)

/** Sends the given lines over TCP and returns the response as text. */
function sendRawRequest(lines: readonly string[], body = ""): Promise<string> {
	const {hostname, port} = new URL(entry)
	const head = [...lines, "connection: close", "", body].join("\r\n")
	return new Promise((resolve, reject) => {
		let text = ""
		const socket = connect(Number(port), hostname)
		socket.on("data", chunk => (text += chunk.toString()))
		socket.on("error", reject)
		socket.on("close", () => {
			resolve(text)
		})
		socket.write(head)
	})
}

test.each(["idempotency-key", "x-request-id", "x-timeout-ms"])(
	"rejects a request that repeats the header %s",
	async name => {
		const lines = Object.entries(mergeHeaders({[name]: "1001"}))
			.map(([key, value]) => `${key}: ${value}`)
			.concat(`${name}: 1002`, `content-length: ${bookingRequest.body.length}`)
		const start = [`POST ${bookingRequest.path} HTTP/1.1`, "host: entry"]
		const reply = await sendRawRequest(
			[...start, ...lines],
			bookingRequest.body
		)
		expect(reply).toMatch(/^HTTP\/1\.1 400 /)
		expect(reply).toContain(`"field":"${name}"`)
		expect(reply).toContain("given more than once")
		expect(await countRuns()).toBe(runsBefore)
	}
)

test("answers 413 to each of several oversized bodies from a client with one connection", async () => {
	const agent = new Agent({connections: 1, pipelining: 1})
	const statuses: number[] = []
	for (const size of [2, 16, 2]) {
		const res = await request(entry + completionsPath, {
			method: "POST",
			dispatcher: agent,
			body: Buffer.alloc(size * maxBodyBytes, " "),
			headers: mergeHeaders()
		})
		await res.body.dump()
		statuses.push(res.statusCode)
	}
	await agent.destroy()
	expect(statuses).toEqual([413, 413, 413])
})

test("rejects an idempotency key that was used with another body", async () => {
	const headers = {"idempotency-key": "used-twice"}
	const first = JSON.stringify({order: "first", slot: "s-1"})
	const second = JSON.stringify({order: "second", slot: "s-1"})
	const res = await request(entry + bookingRequest.path, {
		method: "POST",
		body: first,
		headers: mergeHeaders(headers)
	})
	await res.body.dump()
	expect(res.statusCode).toBe(200)
	const reply = await sendWithOverrides({headers, body: second})
	expect(reply).toMatchObject({
		status: 422,
		error: {type: "not_run", outcome: "not_run", reason: "key_reused"}
	})
	expect(await bed.countBookings("first")).toBe(1)
	expect(await bed.countBookings("second")).toBe(0)
})
