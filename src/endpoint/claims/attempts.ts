/** Attempts of callers that wait for a result, by id. */
import {Step} from "../../contract/errors.js"
import {
	type LogResult,
	SendEnd,
	type SendOutcome
} from "../../policy/claimTypes.js"
import {messageOf} from "../../utils/common.js"
import {toSendOutcome} from "./answers.js"
import type {Send} from "./types.js"

interface Attempt {
	send: Send
	resolve: (result: LogResult) => void
}

export class Attempts {
	private readonly waiting = new Map<number, Attempt>()
	private made = 0

	/** Calls `start` with the new attempt's id; resolves when it ends. */
	begin(send: Send, start: (id: number) => void): Promise<LogResult> {
		this.made += 1
		const id = this.made
		return new Promise(resolve => {
			this.waiting.set(id, {send, resolve})
			start(id)
		})
	}

	/** Sends the call of an attempt; never rejects. */
	async send(id: number): Promise<SendOutcome> {
		const attempt = this.waiting.get(id)
		if (attempt === undefined) {
			const detail = "the attempt ended before it was sent"
			return {end: SendEnd.NotStarted, detail, retryAfterMs: 0}
		}
		try {
			return toSendOutcome(await attempt.send())
		} catch (err) {
			return {end: SendEnd.Unknown, step: Step.Send, detail: messageOf(err)}
		}
	}

	end(id: number, result: LogResult): void {
		const attempt = this.waiting.get(id)
		this.waiting.delete(id)
		attempt?.resolve(result)
	}
}
