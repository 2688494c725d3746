import {once} from "node:events"
import {createServer, type IncomingMessage, request} from "node:http"
import type {AddressInfo} from "node:net"
import fc from "fast-check"
import {describe, expect, test} from "vitest"
import {parseConfiguration} from "../../contract/config/index.js"
import {BadRequestError} from "../../contract/errors.js"
import {
	checkRouteRules,
	type Envelope,
	maxBodyBytes,
	parseChat,
	parseCompletion,
	parseEnvelope,
	parseOffset,
	readBody
} from "../parseRequest.js"

const seed = 20_261_203
const runs = 3000
const now = 1_800_000_000_000
const maxTokens = 32_768
const model = "loom:a-0@v1"

/** Checks a property for generated values of the fixed seed. */
function check<T>(values: fc.Arbitrary<T>, verify: (value: T) => void): void {
	fc.assert(fc.property(values, verify), {seed, numRuns: runs})
}

/**
 * Returns the result, or a `BadRequestError` after checking that it has a field,
 * a message and status 400.
 */
function attempt<T>(parse: () => T): T | BadRequestError {
	try {
		return parse()
	} catch (err) {
		if (!(err instanceof BadRequestError)) throw err
		expect(err.field).not.toBe("")
		expect(err.message).not.toBe("")
		expect(err.status).toBe(400)
		return err
	}
}

const token = fc.oneof(
	fc.constantFrom(model, "loom:a-0", "", "user", "a mirror", true, 1, 0),
	fc.jsonValue({maxDepth: 2})
)
const message = fc.record(
	{role: token, content: token},
	{requiredKeys: [], noNullPrototype: true}
)
const almostValidBody = fc
	.record(
		{
			model: token,
			prompt: token,
			messages: fc.oneof(fc.array(message), token),
			max_tokens: token,
			max_completion_tokens: token,
			stream: token
		},
		{requiredKeys: [], noNullPrototype: true}
	)
	.map(value => Buffer.from(JSON.stringify(value)))
const anyBody = fc.oneof(
	fc.uint8Array({maxLength: 200}).map(bytes => Buffer.from(bytes)),
	fc.json().map(text => Buffer.from(text)),
	almostValidBody
)

const headerText = fc.oneof(
	fc.string({maxLength: 300}),
	fc.string({unit: "binary", maxLength: 40}),
	fc.constantFrom("", "0", "1", "a, b", "9".repeat(16), "9".repeat(17)),
	fc.integer().map(String),
	fc.date({noInvalidDate: true}).map(date => date.toISOString())
)
const anyHeaders = fc.record(
	{
		"x-deadline": headerText,
		"x-timeout-ms": headerText,
		"x-request-id": headerText,
		"idempotency-key": headerText,
		"x-first-attempt": headerText,
		"x-route": headerText
	},
	{requiredKeys: [], noNullPrototype: true}
)

describe(`generated input, seed ${seed}`, () => {
	test.each([
		["completions", parseCompletion],
		["chats", parseChat]
	])("a body of %s is parsed within bounds or refused", (_name, parse) => {
		check(anyBody, body => {
			const result = attempt(() => parse(body))
			if (result instanceof BadRequestError) return
			expect(result.model).toMatch(/^[^:@\s]+:[^:@\s]+@[^:@\s]+$/)
			expect(typeof result.prompt).toBe("string")
			expect(Number.isInteger(result.maxTokens)).toBe(true)
			expect(result.maxTokens).toBeGreaterThan(0)
			expect(result.maxTokens).toBeLessThanOrEqual(maxTokens)
		})
	})

	test("headers are parsed within bounds or refused", () => {
		check(anyHeaders, headers => {
			const result = attempt(() => parseEnvelope(headers, "club-1", now))
			if (result instanceof BadRequestError) return
			expect(result.deadline).toBeGreaterThan(now)
			expect(Number.isSafeInteger(result.deadline)).toBe(true)
			expect(result.requestId).toMatch(/^[A-Za-z0-9_-]{1,64}$/)
			expect(result.idempotencyKey).toMatch(/^[\x21-\x7e]{0,255}$/)
		})
	})

	test("an offset is parsed within bounds or refused", () => {
		const texts = fc.oneof(headerText, fc.anything())
		check(texts, text => {
			const result = attempt(() => parseOffset(text))
			if (result instanceof BadRequestError) return
			expect(result).toBeGreaterThanOrEqual(0)
			expect(Number.isInteger(result)).toBe(true)
			expect(result).toBeLessThan(2 ** 32)
		})
	})
})

test("refuses an offset that does not fit into 32 bits", () => {
	expect(parseOffset("4294967295")).toBe(4_294_967_295)
	expect(() => parseOffset("4294967296")).toThrow(BadRequestError)
})

const headers = {"x-deadline": String(now + 1)}

test("x-deadline takes precedence over x-timeout-ms", () => {
	const both = {...headers, "x-timeout-ms": "5000"}
	expect(parseEnvelope(both, "club-1", now).deadline).toBe(now + 1)
	const relative = {"x-timeout-ms": "5000"}
	expect(parseEnvelope(relative, "club-1", now).deadline).toBe(now + 5000)
	const text = {"x-deadline": new Date(now + 7).toISOString()}
	expect(parseEnvelope(text, "club-1", now).deadline).toBe(now + 7)
})

test("a request without x-request-id gets a unique id", () => {
	const ids = [1, 2].map(() => parseEnvelope(headers, "m", now).requestId)
	expect(ids[0]).not.toBe(ids[1])
	const named = {...headers, "x-request-id": "r_1-A"}
	expect(parseEnvelope(named, "m", now).requestId).toBe("r_1-A")
})

test("a completion gets defaults, and chat messages become one prompt", () => {
	const completion = {model, prompt: "a mirror"}
	expect(parseCompletion(toBytes(completion))).toEqual({
		...completion,
		maxTokens: 256,
		isStream: false,
		isChat: false
	})
	const messages = [
		{role: "system", content: "be brief"},
		{role: "user", content: "a mirror"}
	]
	const chat = {model, messages, max_tokens: 5, max_completion_tokens: 9}
	expect(parseChat(toBytes(chat))).toEqual({
		model,
		prompt: "system: be brief\nuser: a mirror\nassistant:",
		maxTokens: 9,
		isStream: false,
		isChat: true
	})
})

test("the error for an invalid nested field names its path", () => {
	const chat = {model, messages: [{role: "user", content: 7}]}
	const err = attempt(() => parseChat(toBytes(chat)))
	expect(err).toMatchObject({
		field: "messages.0.content",
		message: "expected text"
	})
})

test("checks a route's maximum deadline and required key", () => {
	const {routes} = parseConfiguration([{path: "r.yaml", text: rules}]).settings
	const [route] = routes
	if (route === undefined) throw new Error("the route is missing")
	const envelope: Envelope = {
		member: "club-1",
		requestId: "r",
		deadline: now + 1000,
		idempotencyKey: "k",
		isFirstAttempt: false,
		routeName: ""
	}
	const checkRules = (changes: Partial<Envelope>): unknown =>
		attempt(() => {
			checkRouteRules(route, {...envelope, ...changes}, now)
		})
	expect(checkRules({})).toBeUndefined()
	expect(checkRules({deadline: now + 1001})).toMatchObject({
		field: "x-deadline"
	})
	expect(checkRules({idempotencyKey: ""})).toMatchObject({
		field: "idempotency-key"
	})
})

test("reads a body of the maximum size and refuses a larger one", async () => {
	expect(await sendBody(maxBodyBytes)).toBe(`read ${maxBodyBytes}`)
	expect(await sendBody(maxBodyBytes + 1)).toBe("refused 413 body")
})

const rules = `
deployment: rules
failureDomains: [{name: north, region: r1}]
baseModels: [loom]
pools: [{name: desk, type: service, seats: 8, callMs: 20}]
routes:
  - {name: bookings, pool: desk, method: POST, path: /bookings, class: booking, idempotent: false, key: required, maxDeadlineMs: 1000}
weightStore: {loadsPerSecond: 20, inFlight: 8, loadMs: 100}
objective: {loadStalls: 0.8, batchEfficiency: 0.2}
retryBudget: {ratio: 0.2, minPerSecond: 5}
adapters: []
`

function toBytes(value: object): Buffer {
	return Buffer.from(JSON.stringify(value))
}

/**
 * Sends a body to a server that reads it with `readBody`; returns the answer.
 */
async function sendBody(size: number): Promise<string> {
	const server = createServer((req, res) => {
		readBody(req).then(
			body => res.end(`read ${body.length}`),
			(err: unknown) => {
				const {status, field} = err as BadRequestError
				res.end(`refused ${status} ${field}`)
			}
		)
	})
	server.listen(0, "127.0.0.1")
	await once(server, "listening")
	const {port} = server.address() as AddressInfo
	const req = request({port, host: "127.0.0.1", method: "POST"})
	req.end(Buffer.alloc(size))
	const [res] = (await once(req, "response")) as [IncomingMessage]
	let text = ""
	for await (const chunk of res) text += String(chunk)
	server.closeAllConnections()
	server.close()
	return text
}
