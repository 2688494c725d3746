/**
 * What callers send wrongly, against a running entry: each fault gets a typed
 * error that names the field and the reason, and nothing runs.
 */
import {connect} from "node:net"
import {afterAll, beforeAll, expect, test} from "vitest"
import {Agent, request} from "undici"
import {maxBodyBytes} from "../src/entry/parseRequest.js"
import {Bed} from "./faults/bed.js"

const maxKeyLength = 255
const farAheadMs = 24 * 3_600_000
const goodModel = "loom:a-0@v1"

let bed: Bed
let entry = ""
let runsBefore = 0

interface Sent {
	method?: "GET" | "POST" | "PUT" | "DELETE"
	path?: string
	/** Replaces or, when undefined, removes headers of a good request. */
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

/** A fault of the input and the answer it must get. */
interface Case extends Sent {
	what: string
	status: number
	field: string
	/** Part of the message. */
	reason: string
	/** The methods that the answer must name. */
	allow?: string
}

beforeAll(async () => {
	bed = await Bed.start()
	;[entry = ""] = bed.deployment.entryUrls
	runsBefore = await countRuns()
})

afterAll(async () => {
	await bed.stop()
})

/** Calls and generations that ran, over all services and engines. */
async function countRuns(): Promise<number> {
	const services = await bed.serviceTruths()
	const engines = await bed.engineTruths()
	const bookings = services.map(({runs}) => runs)
	const drafts = engines.map(({runsById}) => Object.keys(runsById).length)
	return [...bookings, ...drafts].reduce((sum, count) => sum + count, 0)
}

/** Sends a request that is good but for what the case replaces. */
async function send(sent: Sent): Promise<Reply> {
	const {method = "POST", path = bookings.path, body = bookings.body} = sent
	const res = await request(entry + path, {
		method,
		body,
		headers: mergeHeaders(sent.headers)
	})
	const text = await res.body.text()
	const contentType = String(res.headers["content-type"])
	const allow = String(res.headers.allow ?? "")
	const {error} = JSON.parse(text) as {error: Reply["error"]}
	return {status: res.statusCode, contentType, allow, error}
}

function mergeHeaders(changes: Sent["headers"] = {}): Record<string, string> {
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

const bookings = {
	path: "/v1/services/bookings",
	body: JSON.stringify({order: "bad-input", slot: "s-1"})
}
const completions = "/v1/completions"
const chat = "/v1/chat/completions"

function completion(changes: object = {}): string {
	return JSON.stringify({model: goodModel, prompt: "a mirror", ...changes})
}

const envelopeCases: Case[] = [
	{
		what: "no Member",
		headers: {"x-member": undefined},
		status: 400,
		field: "x-member",
		reason: "expected 1 to 64"
	},
	{
		what: "a Member with other characters",
		headers: {"x-member": "club 1/../2"},
		status: 400,
		field: "x-member",
		reason: "expected 1 to 64"
	},
	{
		what: "a Member that is too long",
		headers: {"x-member": "m".repeat(65)},
		status: 400,
		field: "x-member",
		reason: "expected 1 to 64"
	},
	{
		what: "no deadline",
		headers: {"x-timeout-ms": undefined},
		status: 400,
		field: "x-deadline",
		reason: "expected epoch milliseconds"
	},
	{
		what: "a deadline in the past",
		headers: {"x-deadline": "1000"},
		status: 400,
		field: "x-deadline",
		reason: "has passed"
	},
	{
		what: "a deadline in the past as text",
		headers: {"x-deadline": "2001-01-01T00:00:00Z"},
		status: 400,
		field: "x-deadline",
		reason: "has passed"
	},
	{
		what: "a timeout of nothing",
		headers: {"x-timeout-ms": "0"},
		status: 400,
		field: "x-timeout-ms",
		reason: "has passed"
	},
	{
		what: "a deadline that is no time",
		headers: {"x-deadline": "soon"},
		status: 400,
		field: "x-deadline",
		reason: "expected epoch milliseconds"
	},
	{
		what: "a timeout that is no number",
		headers: {"x-timeout-ms": "-5"},
		status: 400,
		field: "x-timeout-ms",
		reason: "expected milliseconds"
	},
	{
		what: "a deadline beyond the route's limit",
		headers: {"x-timeout-ms": String(farAheadMs)},
		status: 400,
		field: "x-deadline",
		reason: "route bookings takes deadlines up to 60000 ms ahead"
	},
	{
		what: "no key where one is required",
		headers: {"idempotency-key": undefined},
		status: 400,
		field: "idempotency-key",
		reason: "route bookings requires a key"
	},
	{
		what: "a key that is too long",
		headers: {"idempotency-key": "k".repeat(maxKeyLength + 1)},
		status: 400,
		field: "idempotency-key",
		reason: "longer than 255"
	},
	{
		what: "a key with a space",
		headers: {"idempotency-key": "k 1"},
		status: 400,
		field: "idempotency-key",
		reason: "printable ASCII"
	},
	{
		what: "a request id with other characters",
		headers: {"x-request-id": "id 1"},
		status: 400,
		field: "x-request-id",
		reason: "expected 1 to 64"
	},
	{
		what: "a request id that is too long",
		headers: {"x-request-id": "i".repeat(65)},
		status: 400,
		field: "x-request-id",
		reason: "expected 1 to 64"
	},
	{
		what: "a body that is too large",
		body: Buffer.alloc(maxBodyBytes + 1, " "),
		status: 413,
		field: "body",
		reason: `larger than ${maxBodyBytes} bytes`
	},
	{
		what: "a body that is far too large",
		body: Buffer.alloc(16 * maxBodyBytes, " "),
		status: 413,
		field: "body",
		reason: `larger than ${maxBodyBytes} bytes`
	}
]

const completionCases: Case[] = [
	["an unknown adapter", {model: "loom:nobody@v1"}, 404, "model"],
	["an unknown version", {model: "loom:a-0@v9"}, 404, "model"],
	["an unknown base model", {model: "other:a-0@v1"}, 404, "model"],
	["a model without version", {model: "loom:a-0"}, 400, "model"],
	["a model that is a number", {model: 7}, 400, "model"],
	["no model", {model: undefined}, 400, "model"],
	["no prompt", {prompt: undefined}, 400, "prompt"],
	["a prompt that is an object", {prompt: {}}, 400, "prompt"],
	["a count that is text", {max_tokens: "9"}, 400, "max_tokens"],
	["a count of nothing", {max_tokens: 0}, 400, "max_tokens"],
	["a count beyond the limit", {max_tokens: 1e9}, 400, "max_tokens"],
	["a count that is not whole", {max_tokens: 1.5}, 400, "max_tokens"],
	["a stream flag that is text", {stream: "yes"}, 400, "stream"]
].map(([what, changes, status, field]) => ({
	what: what as string,
	path: completions,
	body: completion(changes as object),
	status: status as number,
	field: field as string,
	reason: ""
}))

const bodyCases: Case[] = [
	{
		what: "a body that is not JSON",
		path: completions,
		body: "{",
		status: 400,
		field: "body",
		reason: "malformed JSON"
	},
	{
		what: "an empty body",
		path: completions,
		body: null,
		status: 400,
		field: "body",
		reason: "malformed JSON"
	},
	{
		what: "a body that is a list",
		path: completions,
		body: "[]",
		status: 400,
		field: "body",
		reason: "expected object"
	},
	{
		what: "a chat without messages",
		path: chat,
		body: JSON.stringify({model: goodModel, messages: []}),
		status: 400,
		field: "messages",
		reason: ""
	},
	{
		what: "a message with an unknown role",
		path: chat,
		body: JSON.stringify({
			model: goodModel,
			messages: [{role: "wizard", content: "x"}]
		}),
		status: 400,
		field: "messages.0.role",
		reason: ""
	},
	{
		what: "an unknown generation route",
		path: completions,
		headers: {"x-route": "nothing"},
		body: completion(),
		status: 404,
		field: "x-route",
		reason: 'no generation route is named "nothing"'
	}
]

const routeCases: Case[] = [
	{
		what: "an unknown service path",
		path: "/v1/services/cancellations",
		status: 404,
		field: "path",
		reason: "no route takes POST /cancellations"
	},
	{
		what: "a wrong method of a service path",
		method: "PUT",
		status: 405,
		field: "method",
		reason: "/bookings takes POST, not PUT",
		allow: "POST"
	},
	{
		what: "an unknown path",
		path: "/v2/completions",
		status: 404,
		field: "path",
		reason: "POST /v2/completions"
	},
	{
		what: "a wrong method of completions",
		method: "DELETE",
		path: completions,
		status: 405,
		field: "method",
		reason: "/v1/completions takes POST, not DELETE",
		allow: "POST"
	},
	{
		what: "a wrong method of a stream",
		path: "/v1/streams/h~id?offset=0",
		status: 405,
		field: "method",
		reason: "takes GET, not POST",
		allow: "GET"
	},
	{
		what: "a ticket of an unknown route",
		path: "/v1/tickets/nothing",
		status: 404,
		field: "route",
		reason: "not idempotent"
	},
	{
		what: "a ticket of an idempotent route",
		path: "/v1/tickets/order-status",
		status: 404,
		field: "route",
		reason: "not idempotent"
	},
	{
		what: "a stream offset that is no number",
		method: "GET",
		path: "/v1/streams/h~id?offset=x",
		headers: {"x-model": goodModel},
		body: null,
		status: 400,
		field: "offset",
		reason: "expected a count"
	},
	{
		what: "a stream offset beyond the largest",
		method: "GET",
		path: "/v1/streams/h~id?offset=4294967296",
		headers: {"x-model": goodModel},
		body: null,
		status: 400,
		field: "offset",
		reason: "expected a count"
	},
	{
		what: "a stream without its model",
		method: "GET",
		path: "/v1/streams/h~id?offset=0",
		body: null,
		status: 400,
		field: "x-model",
		reason: "expected base:adapter@version"
	}
]

const cases = [
	...envelopeCases,
	...completionCases,
	...bodyCases,
	...routeCases
]

test.each(cases)(
	"$what is refused",
	async ({what, status, field, reason, allow = "", ...sent}) => {
		const reply = await send(sent)
		expect(reply, what).toMatchObject({
			status,
			contentType: "application/json",
			allow,
			error: {type: "invalid_request", outcome: "rejected", field}
		})
		expect(reply.error.message).toContain(reason)
		expect(await countRuns()).toBe(runsBefore)
	}
)

/** Sends a request byte by byte as written, and returns the whole reply. */
function sendRaw(lines: readonly string[], body = ""): Promise<string> {
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
	"%s given twice is refused",
	async name => {
		const lines = Object.entries(mergeHeaders({[name]: "1001"}))
			.map(([key, value]) => `${key}: ${value}`)
			.concat(`${name}: 1002`, `content-length: ${bookings.body.length}`)
		const start = [`POST ${bookings.path} HTTP/1.1`, "host: entry"]
		const reply = await sendRaw([...start, ...lines], bookings.body)
		expect(reply).toMatch(/^HTTP\/1\.1 400 /)
		expect(reply).toContain(`"field":"${name}"`)
		expect(reply).toContain("given more than once")
		expect(await countRuns()).toBe(runsBefore)
	}
)

test("a connection carries requests after a body that was too large", async () => {
	const agent = new Agent({connections: 1, pipelining: 1})
	const statuses: number[] = []
	for (const size of [2, 16, 2]) {
		const res = await request(entry + completions, {
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

test("a key that was used with another body is refused", async () => {
	const headers = {"idempotency-key": "used-twice"}
	const first = JSON.stringify({order: "first", slot: "s-1"})
	const second = JSON.stringify({order: "second", slot: "s-1"})
	const res = await request(entry + bookings.path, {
		method: "POST",
		body: first,
		headers: mergeHeaders(headers)
	})
	await res.body.dump()
	expect(res.statusCode).toBe(200)
	const reply = await send({headers, body: second})
	expect(reply).toMatchObject({
		status: 422,
		error: {type: "not_run", outcome: "not_run", reason: "key_reused"}
	})
	expect(await bed.countBookings("first")).toBe(1)
	expect(await bed.countBookings("second")).toBe(0)
})
