/**
 * Writes generations to callers in the response formats of the OpenAI API, with
 * additional fields.
 */
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

/** Separates host id and request id in a stream id. */
export const streamIdSeparator = "~"

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

	abstract writeText(offset: number, text: string): void
	abstract finish(finished: Finished, text: string): void

	/** Ends a request whose answer is missing or incomplete. */
	abstract fail(outcome: FailedOutcome): void

	/** Time that the request waited for its adapter to load. */
	get loadStallMs(): number {
		return this.started?.loadStallMs ?? 0
	}

	protected headers(): Record<string, string> {
		const {requestId} = this.options
		return {
			"x-request-id": requestId,
			"x-stream-id": `${this.hostId}${streamIdSeparator}${requestId}`,
			"x-load-stall-ms": this.loadStallMs.toFixed(0),
			"x-queue-ms": (this.started?.queueMs ?? 0).toFixed(0)
		}
	}
}

/** Sends the complete answer as one JSON body when the generation finishes. */
export class BufferedWriter extends CompletionWriter {
	override writeText(): void {
		// `finish` gets the complete text.
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
			usage: createUsage(finished)
		}
		sendJson(res, ok, body, this.headers())
	}

	override fail(outcome: FailedOutcome): void {
		sendFailure(this.options.res, outcome, this.options.requestId)
	}
}

/** Sends the text as server-sent events while it is generated. */
export class StreamWriter extends CompletionWriter {
	override start(hostId: string, started: Started): void {
		super.start(hostId, started)
		const {res} = this.options
		res.writeHead(ok, {
			"content-type": "text/event-stream",
			"cache-control": "no-cache",
			...this.headers()
		})
		this.sendEvent({
			...this.createChunk("", null),
			goldcrestloom: {
				host: hostId,
				load_stall_ms: started.loadStallMs,
				queue_ms: started.queueMs
			}
		})
	}

	override writeText(offset: number, text: string): void {
		this.sendEvent({...this.createChunk(text, null), offset})
	}

	override finish(finished: Finished): void {
		this.sendEvent({
			...this.createChunk("", finished.finishReason),
			usage: createUsage(finished)
		})
		this.options.res.end("data: [DONE]\n\n")
	}

	/**
	 * Sends a plain error response if nothing was sent yet. Otherwise ends the
	 * stream with an error event and without `[DONE]`.
	 */
	override fail(outcome: FailedOutcome): void {
		const {res, requestId} = this.options
		if (!res.headersSent) {
			sendFailure(res, outcome, requestId)
			return
		}
		const text = JSON.stringify(describeFailure(outcome, requestId))
		res.end(`event: error\ndata: ${text}\n\n`)
	}

	private createChunk(text: string, finishReason: string | null): object {
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

	private sendEvent(event: object): void {
		this.options.res.write(`data: ${JSON.stringify(event)}\n\n`)
	}
}

function createUsage(finished: Finished): object {
	const {promptTokens, completionTokens} = finished
	return {
		prompt_tokens: promptTokens,
		completion_tokens: completionTokens,
		total_tokens: promptTokens + completionTokens
	}
}
