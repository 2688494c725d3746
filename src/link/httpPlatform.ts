/**
 * Client of the platform's object API over HTTP. It never retries a call: when
 * the answer to a write is lost, the caller must find out whether the write took
 * effect.
 */
import {Agent, request} from "undici"
import {z} from "zod"
import {PlatformError, Step} from "../contract/errors.js"
import {HostRole, HostState} from "../host/host.js"
import {messageOf} from "../utils/common.js"
import {readLimited} from "./answerBytes.js"
import {
	absentVersion,
	type HostRecord,
	Platform,
	type PlatformListing,
	type PlatformObject,
	type PlatformWatch,
	WriteOutcome,
	type WriteResult
} from "./platform.js"

export interface HttpPlatformOptions {
	url: string
	/** Timeout of every call but a watch. */
	timeoutMs?: number
	/** Upper bound of connections to the platform. */
	connections?: number
}

interface Answer {
	status: number
	body: unknown
}

const objectSchema = z.object({
	name: z.string(),
	version: z.number(),
	value: z.unknown()
})
const listingSchema = z.object({
	revision: z.number(),
	items: z.array(objectSchema)
})
const watchSchema = z.object({
	revision: z.number(),
	events: z.array(objectSchema)
})
const versionSchema = z.object({version: z.number()})
const hostsSchema = z.object({
	hosts: z.array(
		z.object({
			id: z.string(),
			role: z.enum(HostRole),
			address: z.string(),
			failureDomain: z.string(),
			pool: z.string(),
			state: z.enum(HostState)
		})
	)
})

const httpOk = 200
const httpNotFound = 404
const httpGone = 410
const httpPreconditionFailed = 412
const httpServerError = 500
/** Time past a watch's deadline after which its call times out. */
const watchGraceMs = 2000

/** Limit for one answer, bytes: a list has no pages. */
const maxAnswerBytes = 64 * 1024 * 1024

/** Number of calls by kind, for comparison with the platform's call budget. */
export interface PlatformCalls {
	reads: number
	writes: number
	watches: number
	failures: number
}

export class HttpPlatform extends Platform {
	readonly calls: PlatformCalls = {
		reads: 0,
		writes: 0,
		watches: 0,
		failures: 0
	}
	private readonly url: string
	private readonly timeoutMs: number
	private readonly agent: Agent

	constructor({url, timeoutMs = 2000, connections = 8}: HttpPlatformOptions) {
		super()
		this.url = url.replace(/\/$/, "")
		this.timeoutMs = timeoutMs
		this.agent = new Agent({connections, pipelining: 1})
	}

	async read(kind: string, name: string): Promise<PlatformObject | undefined> {
		this.calls.reads += 1
		const answer = await this.get(formatObjectPath(kind, name), this.timeoutMs)
		if (answer.status === httpNotFound) return undefined
		return this.parse(objectSchema, answer)
	}

	async list(kind: string, prefix = ""): Promise<PlatformListing> {
		this.calls.reads += 1
		const path = `${formatKindPath(kind)}?prefix=${encodeURIComponent(prefix)}`
		const answer = await this.get(path, this.timeoutMs)
		return this.parse(listingSchema, answer)
	}

	async write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): Promise<WriteResult> {
		const body = JSON.stringify(value)
		return this.sendWrite("PUT", kind, name, expected, body)
	}

	async remove(
		kind: string,
		name: string,
		expected: number
	): Promise<WriteResult> {
		return this.sendWrite("DELETE", kind, name, expected, undefined)
	}

	async watch(
		kind: string,
		revision: number,
		deadline: number
	): Promise<PlatformWatch> {
		this.calls.watches += 1
		const waitMs = Math.max(0, Math.round(deadline - Date.now()))
		const query = `watch=1&revision=${revision}&timeoutMs=${waitMs}`
		const path = `${formatKindPath(kind)}?${query}`
		const answer = await this.get(path, waitMs + watchGraceMs)
		if (answer.status === httpGone) {
			return {revision: 0, events: [], gap: true}
		}
		return {...this.parse(watchSchema, answer), gap: false}
	}

	async hosts(): Promise<HostRecord[]> {
		this.calls.reads += 1
		const answer = await this.get("/v1/hosts", this.timeoutMs)
		return this.parse(hostsSchema, answer).hosts
	}

	async close(): Promise<void> {
		await this.agent.destroy()
	}

	private async get(path: string, timeoutMs: number): Promise<Answer> {
		try {
			return await this.send("GET", path, timeoutMs, {}, undefined)
		} catch (err) {
			this.calls.failures += 1
			throw this.createError(`GET ${path}: ${messageOf(err)}`, err)
		}
	}

	private async sendWrite(
		method: "PUT" | "DELETE",
		kind: string,
		name: string,
		expected: number,
		body: string | undefined
	): Promise<WriteResult> {
		this.calls.writes += 1
		const headers = buildPreconditionHeaders(expected)
		const path = formatObjectPath(kind, name)
		try {
			const answer = await this.send(
				method,
				path,
				this.timeoutMs,
				headers,
				body
			)
			return classifyWrite(answer)
		} catch (err) {
			this.calls.failures += 1
			return {
				outcome: isConnectionRefused(err)
					? WriteOutcome.Refused
					: WriteOutcome.Lost,
				version: absentVersion,
				detail: messageOf(err)
			}
		}
	}

	private async send(
		method: "GET" | "PUT" | "DELETE",
		path: string,
		timeoutMs: number,
		headers: Record<string, string>,
		body: string | undefined
	): Promise<Answer> {
		const res = await request(this.url + path, {
			method,
			dispatcher: this.agent,
			signal: AbortSignal.timeout(timeoutMs),
			headers: {"content-type": "application/json", ...headers},
			body: body ?? null
		})
		const limit = {peer: this.url, maxBytes: maxAnswerBytes}
		const text = (await readLimited(res.body, limit)).toString("utf8")
		return {status: res.statusCode, body: parseJson(text)}
	}

	private parse<T>(schema: z.ZodType<T>, answer: Answer): T {
		if (answer.status !== httpOk) {
			this.calls.failures += 1
			throw this.createError(`status ${answer.status}`, undefined)
		}
		const result = schema.safeParse(answer.body)
		if (result.success) return result.data
		throw this.createError(
			`malformed answer: ${result.error.message}`,
			undefined
		)
	}

	private createError(message: string, cause: unknown): PlatformError {
		return new PlatformError(message, {
			step: Step.Platform,
			peer: this.url,
			cause
		})
	}
}

function formatKindPath(kind: string): string {
	return `/v1/objects/${encodeURIComponent(kind)}`
}

function formatObjectPath(kind: string, name: string): string {
	return `${formatKindPath(kind)}/${encodeURIComponent(name)}`
}

function buildPreconditionHeaders(expected: number): Record<string, string> {
	if (expected === absentVersion) return {"if-none-match": "*"}
	return {"if-match": `"${expected}"`}
}

function classifyWrite(answer: Answer): WriteResult {
	const parsed = versionSchema.safeParse(answer.body)
	const version = parsed.success ? parsed.data.version : absentVersion
	const detail = `status ${answer.status}`
	if (answer.status === httpOk) {
		return {outcome: WriteOutcome.Written, version, detail}
	}
	if (answer.status === httpPreconditionFailed) {
		return {outcome: WriteOutcome.Conflict, version, detail}
	}
	// After a server error, the write may or may not have taken effect.
	const isLost = answer.status >= httpServerError
	const outcome = isLost ? WriteOutcome.Lost : WriteOutcome.Refused
	return {outcome, version, detail}
}

/** True when no connection was made, so that the call was not sent. */
function isConnectionRefused(err: unknown): boolean {
	return err instanceof Error && "code" in err && err.code === "ECONNREFUSED"
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text)
	} catch {
		return undefined
	}
}
