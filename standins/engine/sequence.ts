/** One completion: its text so far and the streams that follow it. */
import type {ServerResponse} from "node:http"
import {
	countAnswerTokens,
	countPromptTokens,
	hashAnswer,
	writeToken
} from "./text.js"

export enum SequenceState {
	Waiting = "waiting",
	Running = "running",
	Finished = "finished",
	/** Cancelled, cut or dropped; its text can't be had any more. */
	Aborted = "aborted"
}

export enum FinishReason {
	Stop = "stop",
	Length = "length"
}

export interface SequenceOptions {
	id: string
	model: string
	/** The model named in events; differs from `model` by a fault only. */
	echoedModel: string
	loraPath: string
	prompt: string
	maxTokens: number
	priority: number
	/** Destroys the stream after this many events; infinite for never. */
	cutAfterEvents: number
	/** Skips one event in the middle. */
	isDroppingEvent: boolean
}

/** A stream that follows a sequence. */
interface Reader {
	res: ServerResponse
	/** Number of characters sent. */
	offset: number
}

const orphanKeepMs = 10_000
const finishedKeepMs = 60_000

export class Sequence {
	state = SequenceState.Waiting
	tokens = 0
	/** When the prefill ends. */
	readyAt = 0
	/** When the sequence is given up or forgotten. */
	expiresAt = Infinity
	readonly promptTokens: number
	private text = ""
	private events = 0
	private readonly seed: number
	private readonly totalTokens: number
	private readonly finishReason: FinishReason
	private readonly readers = new Set<Reader>()

	constructor(readonly options: SequenceOptions) {
		const {loraPath, prompt, maxTokens} = options
		this.seed = hashAnswer(loraPath, prompt)
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

	/** Streams the text from character `offset` to `res`. */
	addReader(res: ServerResponse, offset: number): void {
		res.writeHead(200, {
			"content-type": "text/event-stream",
			"cache-control": "no-cache"
		})
		res.flushHeaders()
		const reader = {res, offset}
		this.sendNewText(reader)
		if (this.state === SequenceState.Finished) {
			this.sendEnd(reader)
			return
		}
		this.readers.add(reader)
		this.expiresAt = Infinity
		res.once("close", () => {
			this.removeReader(reader)
		})
		if (res.destroyed) this.removeReader(reader)
	}

	/** Appends one token and sends it. */
	produceToken(): void {
		const isDropped =
			this.options.isDroppingEvent &&
			this.tokens === Math.floor(this.totalTokens / 2)
		this.text += writeToken(this.seed, this.tokens)
		this.tokens += 1
		for (const reader of this.readers) {
			if (isDropped) reader.offset = this.text.length
			else this.sendNewText(reader)
		}
		this.events += 1
		if (this.events >= this.options.cutAfterEvents) this.abort()
		else if (this.tokens >= this.totalTokens) this.finish()
	}

	/** Ends the sequence and destroys its streams. */
	abort(): void {
		if (!this.isActive) return
		this.state = SequenceState.Aborted
		// Writes are flushed on the next tick, so destroy after that.
		setImmediate(() => {
			for (const {res} of this.readers) res.destroy()
		})
	}

	private finish(): void {
		this.state = SequenceState.Finished
		this.expiresAt = performance.now() + finishedKeepMs
		for (const reader of this.readers) this.sendEnd(reader)
		this.readers.clear()
	}

	private removeReader(reader: Reader): void {
		this.readers.delete(reader)
		if (!this.isActive || this.readers.size > 0) return
		this.expiresAt = performance.now() + orphanKeepMs
	}

	private sendNewText(reader: Reader): void {
		const text = this.text.slice(reader.offset)
		if (text === "") return
		this.sendEvent(reader, text, {finish_reason: null})
		reader.offset = this.text.length
	}

	private sendEnd(reader: Reader): void {
		const usage = {
			prompt_tokens: this.promptTokens,
			completion_tokens: this.tokens
		}
		this.sendEvent(reader, "", {finish_reason: this.finishReason}, {usage})
		reader.res.end("data: [DONE]\n\n")
	}

	private sendEvent(
		{res, offset}: Reader,
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
