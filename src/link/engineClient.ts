/**
 * HTTP client of one model engine: loads and unloads adapters, streams
 * OpenAI-compatible completions, resumes and cancels them, reads load reports.
 */
import type {Readable} from "node:stream"
import {Agent, type Dispatcher, request} from "undici"
import {z} from "zod"
import {Step, StepError} from "../contract/errors.js"
import {messageOf} from "../utils/common.js"
import {readLimited} from "./answerBytes.js"
import {readEvents} from "./sse.js"

export interface EngineClientOptions {
	url: string
	/**
	 * Fencing number sent with load and unload calls; an engine may reject a
	 * number lower than the highest it has received.
	 */
	fence: number
	/** Timeout of unload, cancel and report calls; streams have only their signal. */
	timeoutMs?: number
	/** Timeout of a load call. */
	loadTimeoutMs?: number
}

/** An engine's load report. */
export interface EngineLoad {
	/** Changes when the engine restarts. */
	incarnation: string
	running: number
	waiting: number
	seats: number
	slots: number
	/** Names of the adapters that are loaded. */
	resident: string[]
	/** Highest fencing number that the engine has received. */
	highestFence: number
}

export interface CompletionOptions {
	requestId: string
	/** Name under which the adapter was loaded. */
	adapter: string
	prompt: string
	maxTokens: number
	/** Lower values are scheduled first. */
	priority: number
	signal: AbortSignal
}

/** One event of a completion; only the last one has a finish reason. */
export interface CompletionEvent {
	/** Adapter that the engine names in the event. */
	adapter: string
	/** Position of `text` in the whole answer, in characters. */
	offset: number
	text: string
	finishReason: string | null
	promptTokens: number
	completionTokens: number
}

/** A call to an engine failed, or a stream of it broke off. */
export class EngineError extends StepError {
	constructor(
		step: Step,
		peer: string,
		/** HTTP status; 0 when the engine sent no answer or its stream failed. */
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

/** Limit for a report or the text of an error, bytes: thousands of adapters. */
const maxAnswerBytes = 1024 * 1024
const terminalData = "[DONE]"
const fenceHeader = "x-fencing-number"
const httpOk = 200
const httpNotFound = 404

export class EngineClient {
	readonly url: string
	/** Fencing number sent with load and unload calls; it never changes. */
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
		await this.postFenced("/v1/load_lora_adapter", body, this.loadTimeoutMs)
	}

	async unload(adapter: string): Promise<void> {
		const body = {lora_name: adapter}
		await this.postFenced("/v1/unload_lora_adapter", body, this.timeoutMs)
	}

	/** Reads the load report; its running and waiting counts lag behind the engine. */
	async report(): Promise<EngineLoad> {
		const res = await this.send(Step.Queue, "GET", "/v1/load", {
			signal: AbortSignal.timeout(this.timeoutMs)
		})
		const text = await this.readText(Step.Queue, res)
		return loadSchema.parse(JSON.parse(text))
	}

	/**
	 * Starts a completion. Rejects with EngineError when the engine refuses it or
	 * cannot be reached; the generator throws EngineError when the stream fails.
	 */
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

	/** Reads an earlier completion of this engine again, from a character offset. */
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

	/**
	 * Cancels a completion. True when the engine confirmed it or doesn't know the
	 * stream; false when the completion may still be running.
	 */
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

	private async postFenced(
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
		const detail = await this.readText(step, res)
		throw new EngineError(step, this.url, res.statusCode, detail)
	}

	private async readText(
		step: Step,
		{statusCode, body}: Dispatcher.ResponseData
	): Promise<string> {
		const limit = {peer: this.url, maxBytes: maxAnswerBytes}
		try {
			return (await readLimited(body, limit)).toString("utf8")
		} catch (err) {
			throw new EngineError(step, this.url, statusCode, messageOf(err))
		}
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
