/** Writes generations to callers in the OpenAI-compatible shapes. */
import type {ServerResponse} from "node:http"
import type {Finished, Started} from "../contract/gen/link_pb.js"
import {sendJson} from "../program/health.js"
import type {GenerationSink} from "./generationCall.js"
import {describeFailure, type FailedOutcome, sendFailure} from "./outcome.js"

export interface CompletionWriterOptions {
	res: ServerResponse
	requestId: string
	model: string
	isChat: boolean
}

const ok = 200
const msPerSecond = 1000

/** Separates host and request id in the name of a stream. */
export const streamSeparator = "~"

abstract class CompletionWriter implements GenerationSink {
	protected readonly options: CompletionWriterOptions
	protected readonly created = Math.floor(Date.now() / msPerSecond)
	protected hostId = ""
	protected started: Started | undefined

	constructor(options: CompletionWriterOptions) {
		this.options = options
	}

	start(hostId: string, started: Started): void {
		this.hostId = hostId
		this.started = started
	}

	abstract text(offset: number, text: string): void
	abstract finish(finished: Finished, text: string): void

	/** Ends a request whose answer is not whole. */
	abstract fail(outcome: FailedOutcome): void

	/** Time the request waited for its adapter, in milliseconds. */
	get loadStallMs(): number {
		return this.started?.loadStallMs ?? 0
	}

	protected headers(): Record<string, string> {
		const {requestId} = this.options
		return {
			"x-request-id": requestId,
			"x-stream-id": `${this.hostId}${streamSeparator}${requestId}`,
			"x-load-stall-ms": this.loadStallMs.toFixed(0),
			"x-queue-ms": (this.started?.queueMs ?? 0).toFixed(0)
		}
	}
}

/** Collects the whole answer before it sends anything. */
export class WholeWriter extends CompletionWriter {
	override text(): void {
		// The whole text is sent at the end.
	}

	override finish(finished: Finished, text: string): void {
		const {res, requestId, model, isChat} = this.options
		const choice = isChat
			? {message: {role: "assistant", content: text}}
			: {text}
		const body = {
			id: requestId,
			object: isChat ? "chat.completion" : "text_completion",
			created: this.created,
			model,
			choices: [{index: 0, ...choice, finish_reason: finished.finishReason}],
			usage: usageOf(finished)
		}
		sendJson(res, ok, body, this.headers())
	}

	override fail(outcome: FailedOutcome): void {
		sendFailure(this.options.res, outcome, this.options.requestId)
	}
}

/** Sends server-sent events as text arrives. */
export class StreamWriter extends CompletionWriter {
	override start(hostId: string, started: Started): void {
		super.start(hostId, started)
		const {res} = this.options
		res.writeHead(ok, {
			"content-type": "text/event-stream",
			"cache-control": "no-cache",
			...this.headers()
		})
		this.send({
			...this.chunk("", null),
			goldcrestloom: {
				host: hostId,
				load_stall_ms: started.loadStallMs,
				queue_ms: started.queueMs
			}
		})
	}

	override text(offset: number, text: string): void {
		this.send({...this.chunk(text, null), offset})
	}

	override finish(finished: Finished): void {
		this.send({
			...this.chunk("", finished.finishReason),
			usage: usageOf(finished)
		})
		this.options.res.end("data: [DONE]\n\n")
	}

	/** A broken stream ends with an error event and without `[DONE]`. */
	override fail(outcome: FailedOutcome): void {
		const {res, requestId} = this.options
		if (!res.headersSent) {
			sendFailure(res, outcome, requestId)
			return
		}
		const text = JSON.stringify(describeFailure(outcome, requestId))
		res.end(`event: error\ndata: ${text}\n\n`)
	}

	private chunk(text: string, finishReason: string | null): object {
		const {requestId, model, isChat} = this.options
		const choice = isChat ? {delta: {content: text}} : {text}
		return {
			id: requestId,
			object: isChat ? "chat.completion.chunk" : "text_completion",
			created: this.created,
			model,
			choices: [{index: 0, ...choice, finish_reason: finishReason}]
		}
	}

	private send(event: object): void {
		this.options.res.write(`data: ${JSON.stringify(event)}\n\n`)
	}
}

function usageOf(finished: Finished): object {
	const {promptTokens, completionTokens} = finished
	return {
		prompt_tokens: promptTokens,
		completion_tokens: completionTokens,
		total_tokens: promptTokens + completionTokens
	}
}
