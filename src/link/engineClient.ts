/**
 * Client of one model engine: OpenAI-compatible completions with dynamic
 * adapters, streams that can be resumed and cancelled, and load reports.
 */
import type {Readable} from "node:stream"
import {Agent, type Dispatcher, request} from "undici"
import {z} from "zod"
import {Step, StepError} from "../contract/errors.js"
import {messageOf} from "../utils/common.js"
import {readEvents} from "./sse.js"

export interface EngineClientOptions {
	url: string
	/** Number that orders carry; engines may refuse a lower one. */
	fence: number
	timeoutMs?: number
	/** Longest wait for an adapter to load. */
	loadTimeoutMs?: number
}

export interface EngineLoad {
	incarnation: string
	running: number
	waiting: number
	seats: number
	slots: number
	resident: string[]
	highestFence: number
}

export interface CompletionOptions {
	requestId: string
	/** Name that the adapter was loaded under. */
	adapter: string
	prompt: string
	maxTokens: number
	/** Lower goes first. */
	priority: number
	signal: AbortSignal
}

/** One event of a completion; the last one has a finish reason. */
export interface CompletionEvent {
	adapter: string
	offset: number
	text: string
	finishReason: string | null
	promptTokens: number
	completionTokens: number
}

/** An engine refused or failed a call. */
export class EngineError extends StepError {
	constructor(
		step: Step,
		peer: string,
		/** HTTP status, 0 when there was no answer. */
		readonly status: number,
		message: string
	) {
		super(message, {step, peer})
	}
}

const loadSchema = z.object({
	incarnation: z.coerce.string(),
	running: z.number(),
	waiting: z.number(),
	seats: z.number(),
	slots: z.number(),
	resident: z.array(z.string()),
	highestFence: z.number()
})

const eventSchema = z.object({
	model: z.string(),
	offset: z.number(),
	choices: z
		.array(
			z.object({
				text: z.string(),
				finish_reason: z.string().nullable().default(null)
			})
		)
		.min(1),
	usage: z
		.object({
			prompt_tokens: z.number().default(0),
			completion_tokens: z.number().default(0)
		})
		.nullish()
})

const terminalData = "[DONE]"
const fenceHeader = "x-fencing-number"
const httpOk = 200
const httpNotFound = 404

export class EngineClient {
	readonly url: string
	/** Raised when a new incarnation of this process learns a higher number. */
	fence: number
	private readonly timeoutMs: number
	private readonly loadTimeoutMs: number
	private readonly agent: Agent

	constructor({
		url,
		fence,
		timeoutMs = 2000,
		loadTimeoutMs = 30_000
	}: EngineClientOptions) {
		this.url = url.replace(/\/$/, "")
		this.fence = fence
		this.timeoutMs = timeoutMs
		this.loadTimeoutMs = loadTimeoutMs
		this.agent = new Agent({connections: null, pipelining: 1, bodyTimeout: 0})
	}

	async load(adapter: string, source: string): Promise<void> {
		const body = {lora_name: adapter, lora_path: source}
		await this.order("/v1/load_lora_adapter", body, this.loadTimeoutMs)
	}

	async unload(adapter: string): Promise<void> {
		const body = {lora_name: adapter}
		await this.order("/v1/unload_lora_adapter", body, this.timeoutMs)
	}

	/** Load report; its running and waiting figures lag. */
	async report(): Promise<EngineLoad> {
		const res = await this.send(Step.Queue, "GET", "/v1/load", {
			signal: AbortSignal.timeout(this.timeoutMs)
		})
		const body: unknown = await res.body.json()
		return loadSchema.parse(body)
	}

	/** Runs a completion; rejects before the first event when it is refused. */
	async complete(
		options: CompletionOptions
	): Promise<AsyncGenerator<CompletionEvent>> {
		const res = await this.send(Step.Send, "POST", "/v1/completions", {
			signal: options.signal,
			headers: {"content-type": "application/json"},
			body: JSON.stringify({
				model: options.adapter,
				prompt: options.prompt,
				max_tokens: options.maxTokens,
				stream: true,
				request_id: options.requestId,
				priority: options.priority
			})
		})
		return this.parseEvents(res.body)
	}

	/** Continues a stream of this engine from a character offset. */
	async resume(
		requestId: string,
		offset: number,
		signal: AbortSignal
	): Promise<AsyncGenerator<CompletionEvent>> {
		const id = encodeURIComponent(requestId)
		const path = `/v1/streams/${id}?offset=${offset}`
		const res = await this.send(Step.Stream, "GET", path, {signal})
		return this.parseEvents(res.body)
	}

	/** Stops a stream; true when the engine answered, so that it is stopped. */
	async cancel(requestId: string): Promise<boolean> {
		const path = `/v1/streams/${encodeURIComponent(requestId)}`
		try {
			const signal = AbortSignal.timeout(this.timeoutMs)
			const res = await this.send(Step.Stream, "DELETE", path, {signal})
			await res.body.dump()
			return true
		} catch (err) {
			return err instanceof EngineError && err.status === httpNotFound
		}
	}

	async close(): Promise<void> {
		await this.agent.destroy()
	}

	private async order(
		path: string,
		body: object,
		timeoutMs: number
	): Promise<void> {
		const res = await this.send(Step.Load, "POST", path, {
			signal: AbortSignal.timeout(timeoutMs),
			headers: {
				"content-type": "application/json",
				[fenceHeader]: String(this.fence)
			},
			body: JSON.stringify(body)
		})
		await res.body.dump()
	}

	private async send(
		step: Step,
		method: "GET" | "POST" | "DELETE",
		path: string,
		options: {
			signal: AbortSignal
			headers?: Record<string, string>
			body?: string
		}
	): Promise<Dispatcher.ResponseData> {
		let res: Dispatcher.ResponseData
		try {
			const url = this.url + path
			res = await request(url, {method, dispatcher: this.agent, ...options})
		} catch (err) {
			throw new EngineError(step, this.url, 0, messageOf(err))
		}
		if (res.statusCode === httpOk) return res
		const detail = await res.body.text()
		throw new EngineError(step, this.url, res.statusCode, detail)
	}

	private async *parseEvents(body: Readable): AsyncGenerator<CompletionEvent> {
		try {
			for await (const data of readEvents(body)) {
				if (data === terminalData) return
				yield toEvent(eventSchema.parse(JSON.parse(data)))
			}
		} catch (err) {
			throw new EngineError(Step.Stream, this.url, 0, messageOf(err))
		} finally {
			body.destroy()
		}
		throw new EngineError(
			Step.Stream,
			this.url,
			0,
			"the stream ended without a terminal event"
		)
	}
}

function toEvent(event: z.infer<typeof eventSchema>): CompletionEvent {
	const [choice] = event.choices
	return {
		adapter: event.model,
		offset: event.offset,
		text: choice?.text ?? "",
		finishReason: choice?.finish_reason ?? null,
		promptTokens: event.usage?.prompt_tokens ?? 0,
		completionTokens: event.usage?.completion_tokens ?? 0
	}
}
