/**
 * One completion: the text generated so far and the event streams attached to
 * it. A sequence continues without a stream, so that a caller whose connection
 * broke can resume at a character offset.
 */
import type {ServerResponse} from "node:http"
import {
	countAnswerTokens,
	countPromptTokens,
	computeAnswerSeed,
	generateToken
} from "./text.js"

export enum SequenceState {
	Waiting = "waiting",
	Running = "running",
	Finished = "finished",
	/** Cancelled, cut by a fault, expired or evicted; it can't be resumed. */
	Aborted = "aborted"
}

export enum FinishReason {
	Stop = "stop",
	Length = "length"
}

export interface SequenceOptions {
	id: string
	model: string
	/** Model named in the events; only a fault makes it differ from `model`. */
	echoedModel: string
	loraPath: string
	prompt: string
	maxTokens: number
	priority: number
	/** Aborts the sequence after this many events; Infinity for never. */
	cutAfterEvents: number
	/** Omits the event in the middle of the text, as if it had been lost. */
	isDroppingEvent: boolean
}

/** A response that receives the events of a sequence. */
interface AttachedStream {
	res: ServerResponse
	/** Position in the text of the next character to send. */
	offset: number
}

/** An active sequence is aborted when no stream is attached for this long. */
const detachedTimeoutMs = 10_000
/** A finished sequence can be read again for this long. */
const finishedRetentionMs = 60_000

export class Sequence {
	state = SequenceState.Waiting
	tokens = 0
	prefillEndsAt = 0
	/** When the sequence is aborted or, once finished, discarded. */
	expiresAt = Infinity
	readonly promptTokens: number
	private text = ""
	private eventCount = 0
	private readonly seed: number
	private readonly totalTokens: number
	private readonly finishReason: FinishReason
	private readonly attachedStreams = new Set<AttachedStream>()

	constructor(readonly options: SequenceOptions) {
		const {loraPath, prompt, maxTokens} = options
		this.seed = computeAnswerSeed(loraPath, prompt)
		this.promptTokens = countPromptTokens(prompt)
		const answerTokens = countAnswerTokens(this.seed)
		this.totalTokens = Math.min(maxTokens, answerTokens)
		this.finishReason =
			answerTokens <= maxTokens ? FinishReason.Stop : FinishReason.Length
	}

	get isActive(): boolean {
		const {Waiting, Running} = SequenceState
		return this.state === Waiting || this.state === Running
	}

	/** Sends the text from character `offset` on, and then every new token. */
	attachStream(res: ServerResponse, offset: number): void {
		res.writeHead(200, {
			"content-type": "text/event-stream",
			"cache-control": "no-cache"
		})
		res.flushHeaders()
		const stream = {res, offset}
		this.sendNewText(stream)
		if (this.state === SequenceState.Finished) {
			this.sendEnd(stream)
			return
		}
		this.attachedStreams.add(stream)
		this.expiresAt = Infinity
		res.once("close", () => {
			this.detachStream(stream)
		})
		if (res.destroyed) this.detachStream(stream)
	}

	/** Generates one token and sends it to every attached stream. */
	produceToken(): void {
		const isDropped =
			this.options.isDroppingEvent &&
			this.tokens === Math.floor(this.totalTokens / 2)
		this.text += generateToken(this.seed, this.tokens)
		this.tokens += 1
		for (const stream of this.attachedStreams) {
			if (isDropped) stream.offset = this.text.length
			else this.sendNewText(stream)
		}
		this.eventCount += 1
		if (this.eventCount >= this.options.cutAfterEvents) this.abort()
		else if (this.tokens >= this.totalTokens) this.finish()
	}

	/** Ends the sequence without a final event and destroys its streams. */
	abort(): void {
		if (!this.isActive) return
		this.state = SequenceState.Aborted
		// Node flushes the writes on the next tick; an earlier destroy would
		// discard events that were already written.
		setImmediate(() => {
			for (const {res} of this.attachedStreams) res.destroy()
		})
	}

	private finish(): void {
		this.state = SequenceState.Finished
		this.expiresAt = performance.now() + finishedRetentionMs
		for (const stream of this.attachedStreams) this.sendEnd(stream)
		this.attachedStreams.clear()
	}

	private detachStream(stream: AttachedStream): void {
		this.attachedStreams.delete(stream)
		if (!this.isActive || this.attachedStreams.size > 0) return
		this.expiresAt = performance.now() + detachedTimeoutMs
	}

	private sendNewText(stream: AttachedStream): void {
		const text = this.text.slice(stream.offset)
		if (text === "") return
		this.sendEvent(stream, text, {finish_reason: null})
		stream.offset = this.text.length
	}

	private sendEnd(stream: AttachedStream): void {
		const usage = {
			prompt_tokens: this.promptTokens,
			completion_tokens: this.tokens
		}
		this.sendEvent(stream, "", {finish_reason: this.finishReason}, {usage})
		stream.res.end("data: [DONE]\n\n")
	}

	private sendEvent(
		{res, offset}: AttachedStream,
		text: string,
		choice: object,
		extra: object = {}
	): void {
		const {id, echoedModel: model} = this.options
		const choices = [{index: 0, text, ...choice}]
		const event = {id, model, choices, offset, ...extra}
		res.write(`data: ${JSON.stringify(event)}\n\n`)
	}
}
